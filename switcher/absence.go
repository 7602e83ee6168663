package switcher

// Absence states whether an instance that is not listed may come back with its log.
type Absence uint8

// The absences, in the order of certainty.
const (
	// MayReturn means that the instance is listed, or may come back with its log.
	MayReturn Absence = iota
	// Gone means that the instance has been away for longer than a restart takes.
	Gone
	// Ended means that the instance cannot come back: it announced its end long ago, or another one
	// has its address.
	Ended
)

// String returns the absence as it appears in logs.
func (a Absence) String() string {
	switch a {
	case Gone:
		return "gone"
	case Ended:
		return "ended"
	default:
		return "may-return"
	}
}
