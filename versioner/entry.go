package versioner

import (
	"cmp"
	"slices"
	"sort"
)

// entry is a change of an object: the object was written or removed at the revision.
type entry struct {
	revision uint64
	key      string
}

// insertEntries inserts entries into a log in ascending order of revision. The entries are
// mostly later than the log, so that they are appended.
func insertEntries(log, entries []entry) []entry {
	if len(entries) == 0 {
		return log
	}
	slices.SortFunc(entries, compareEntries)
	from := len(log)
	if from > 0 && entries[0].revision < log[from-1].revision {
		from = searchEntries(log, entries[0].revision)
	}
	log = append(log, entries...)
	if from < len(log)-len(entries) {
		slices.SortFunc(log[from:], compareEntries)
	}
	return log
}

// searchEntries returns the index of the first entry later than a revision.
func searchEntries(log []entry, revision uint64) int {
	return sort.Search(len(log), func(i int) bool { return log[i].revision > revision })
}

// compareEntries compares two entries by revision.
func compareEntries(a, b entry) int {
	return cmp.Compare(a.revision, b.revision)
}
