package cataloguer

// RouteKind tells which log a read on a route must see.
type RouteKind uint8

// The kinds of routes.
const (
	// Primary reads see every acknowledged commit.
	Primary RouteKind = iota
	// BoundedStaleness reads may miss commits younger than the staleness of the route.
	BoundedStaleness
	// ReadYourWrites reads also see every commit of their own session.
	ReadYourWrites
)

// String returns the kind as it appears in logs.
func (k RouteKind) String() string {
	switch k {
	case BoundedStaleness:
		return "bounded-staleness"
	case ReadYourWrites:
		return "read-your-writes"
	default:
		return "primary"
	}
}
