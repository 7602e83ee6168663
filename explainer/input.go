package explainer

// Input is one thing that a decision saw.
type Input struct {
	// Name names the input in kebab case.
	Name string `json:"name"`
	// Value is the input as text.
	Value string `json:"value"`
}
