package configurator

// AffectedOrganisation describes the effect of a change on one organisation.
type AffectedOrganisation struct {
	// Organisation is the name of the organisation.
	Organisation string
	// Callers is the number of its connected callers.
	Callers int
	// Effect describes what the change means for its callers.
	Effect string
}

// describeEffect describes what a change means for the callers of an organisation.
func describeEffect(old, o Organisation, before, after Effective, existed bool) string {
	switch {
	case !existed:
		return "new organisation; nobody is connected"
	case len(activeKeyIDs(o)) < len(activeKeyIDs(old)):
		return "callers with a withdrawn key are disconnected after the statement at hand"
	case after.Limit.Rate < before.Limit.Rate || after.Limit.Burst < before.Limit.Burst:
		return "callers stay connected; requests above the lower rate are refused as not run"
	case after.Staleness < before.Staleness:
		return "callers stay connected; more reads go to the primary while replicas lag"
	default:
		return "callers stay connected"
	}
}

// activeKeyIDs returns the identifiers of the keys that are not withdrawn.
func activeKeyIDs(o Organisation) []string {
	var ids []string
	for _, k := range o.Keys {
		if !k.Withdrawn {
			ids = append(ids, k.ID)
		}
	}
	return ids
}
