package configurator

// Profile is an organisation with its effective values.
type Profile struct {
	Organisation
	Effective
	// Groups are the database groups that the organisation uses, sorted by name.
	Groups []string
}
