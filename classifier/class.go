package classifier

// Class is the classification of a statement text.
type Class struct {
	// Kind is the kind of the text.
	Kind Kind
	// Reason is the reason why a refused text is not supported.
	Reason string
	// Token is the session token that a SetSession text sets.
	Token string
}

// combine returns the class of a text that holds statements of both classes.
func (c Class) combine(d Class) Class {
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
