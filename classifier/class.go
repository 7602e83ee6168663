package classifier

// Class is what is known of a statement text.
type Class struct {
	// Kind tells what the text does.
	Kind Kind
	// Reason tells why a text is refused.
	Reason string
	// Token is the session token that the text presents.
	Token string
}

// join returns the class of two statements in one text.
func (c Class) join(d Class) Class {
	switch {
	case c.Kind == Empty:
		return d
	case d.Kind == Empty:
		return c
	case c.Kind == Refused:
		return c
	case d.Kind == Refused:
		return d
	case c.Kind == SetSession || d.Kind == SetSession:
		return Class{Kind: Refused, Reason: "SET of the session token must stand alone"}
	case c.Kind == Read && d.Kind == Read:
		return c
	default:
		return Class{Kind: Write}
	}
}
