package runner

import "context"

// Duty is one of the things that a process does for as long as it runs.
type Duty interface {
	// String names the duty.
	String() string
	// Run does the duty until ctx ends.
	Run(ctx context.Context) error
}

// duty is a Duty made of a name and a function.
type duty struct {
	name string
	run  func(ctx context.Context) error
}

// String names the duty.
func (d duty) String() string { return d.name }

// Run does the duty until ctx ends.
func (d duty) Run(ctx context.Context) error { return d.run(ctx) }
