package loader

// Group is a database group.
type Group struct {
	// Name names the group.
	Name string `yaml:"name"`
	// Slots is the number of statements that an instance runs at once.
	Slots int `yaml:"slots"`
	// Connections is the number of connections that an instance takes.
	Connections int `yaml:"connections"`
	// Instances are the instances.
	Instances []Instance `yaml:"instances"`
}
