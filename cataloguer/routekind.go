package cataloguer

// RouteKind is the read consistency of a route: which commits a read must see.
type RouteKind uint8

// The kinds of routes.
const (
	// Primary means that reads see every acknowledged commit.
	Primary RouteKind = iota
	// BoundedStaleness means that reads may miss commits younger than the staleness of
	// the route.
	BoundedStaleness
	// ReadYourWrites means that reads also see every commit of their own session.
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
