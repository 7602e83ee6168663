package runner

import "context"

// Task is a background task that runs for the lifetime of a process.
type Task interface {
	// String returns the name of the task.
	String() string
	// Run runs the task until ctx ends.
	Run(ctx context.Context) error
}

// namedTask is a Task with a name and a function.
type namedTask struct {
	name string
	run  func(ctx context.Context) error
}

// String returns the name of the task.
func (t namedTask) String() string { return t.name }

// Run runs the task until ctx ends.
func (t namedTask) Run(ctx context.Context) error { return t.run(ctx) }
