package loader

// Group is a database group: the instances that hold the same data.
type Group struct {
	// Name is the unique name of the group.
	Name string `yaml:"name"`
	// Slots is the number of statements that an instance runs concurrently.
	Slots int `yaml:"slots"`
	// Connections is the maximum number of connections to an instance.
	Connections int `yaml:"connections"`
	// Instances are the instances of the group.
	Instances []Instance `yaml:"instances"`
}
