package recorder

// Input is one value on which a decision was based.
type Input struct {
	// Name is the name of the input in kebab case.
	Name string `json:"name"`
	// Value is the input as text.
	Value string `json:"value"`
}
