package dispatcher

// Field is one input of a decision.
type Field struct {
	// Name names the input in kebab case.
	Name string
	// Value is the input.
	Value any
}

// Journal takes the decisions that touch a request.
type Journal interface {
	// Request records a decision about the request id.
	Request(decision, id string, fields ...Field)
}
