package governor

// Profile is an organisation with its values in force.
type Profile struct {
	Organisation
	Effective
	// Groups are the database groups that the organisation uses, in ascending order.
	Groups []string
}
