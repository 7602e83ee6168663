package gossiper

// mergedEntries holds the entries of a relay with the VMs of the roster that they belong
// to. It is valid while the entries of the relay have the same hash and the roster has
// had the same number of deletions.
type mergedEntries struct {
	hash, deletions uint64
	entries         []mergedEntry
}

// mergedEntry is an entry of a VM in an availability zone.
type mergedEntry struct {
	entry  Entry
	zone   string
	member *member
}

// newMergedEntries returns the entries of a relay except that of this VM. VMs that are
// not known are added.
func (r *roster) newMergedEntries(s *relayState, self string) mergedEntries {
	out := mergedEntries{hash: s.hash, deletions: r.deletions, entries: []mergedEntry{}}
	for zone, entries := range s.zones {
		for name, e := range entries {
			if name == self {
				continue
			}
			if r.known[name] == nil {
				r.add(Peer{Message: e.message(zone), Heard: s.heardAt}, true, true)
			}
			out.entries = append(out.entries, mergedEntry{entry: e, zone: zone, member: r.known[name]})
		}
	}
	return out
}
