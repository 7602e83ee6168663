package governor

// Touched is an organisation that a change affects.
type Touched struct {
	// Organisation names the organisation.
	Organisation string
	// Callers is the number of its connected callers.
	Callers int
	// Effect tells what the change does to them.
	Effect string
}

// effect tells what a change does to the callers of an organisation.
func effect(old, o Organisation, before, after Effective, existed bool) string {
	switch {
	case !existed:
		return "new organisation; nobody is connected"
	case len(liveKeys(o)) < len(liveKeys(old)):
		return "callers with a withdrawn key are disconnected after the statement at hand"
	case after.Limit.Rate < before.Limit.Rate || after.Limit.Burst < before.Limit.Burst:
		return "callers stay connected; requests above the lower rate are refused as not run"
	case after.Staleness < before.Staleness:
		return "callers stay connected; more reads go to the primary while replicas lag"
	default:
		return "callers stay connected"
	}
}

// liveKeys returns the identifiers of the keys that work.
func liveKeys(o Organisation) []string {
	var ids []string
	for _, k := range o.Keys {
		if !k.Withdrawn {
			ids = append(ids, k.ID)
		}
	}
	return ids
}
