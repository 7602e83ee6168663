package versioner_test

import (
	"fmt"
	"strconv"
	"testing"

	"github.com/marigoldgauge/marigoldgauge/keeper"
	"github.com/marigoldgauge/marigoldgauge/versioner"
)

// benchmarkObjects is the number of instances of a fleet of 300 VMs.
const benchmarkObjects = 12000

// benchmarkObject returns an object of the list.
func benchmarkObject(revision uint64) keeper.Object {
	return keeper.Object{
		Key: fmt.Sprintf("servers/i-%05d", revision%benchmarkObjects), Version: strconv.FormatUint(revision, 10),
		Revision: revision, Value: make([]byte, 180),
	}
}

// benchmarkLists returns two lists as of the revision benchmarkObjects.
func benchmarkLists() (from, to *versioner.List) {
	u := versioner.Update{Revision: benchmarkObjects, Whole: true}
	for n := range uint64(benchmarkObjects) {
		u.Objects = append(u.Objects, benchmarkObject(n+1))
	}
	from, to = versioner.NewList(), versioner.NewList()
	from.Update(u)
	to.Update(u)
	return from, to
}

// The cost of one change in a list of 12,000 objects, as read from the store.
func BenchmarkChangeFromStore(b *testing.B) {
	l, _ := benchmarkLists()
	revision := l.Revision()
	b.ReportAllocs()
	for b.Loop() {
		revision++
		l.Update(versioner.Update{Revision: revision, Objects: []keeper.Object{benchmarkObject(revision)}})
	}
}

// The cost of one change in a list of 12,000 objects, sent from one VM to another.
func BenchmarkChangeFromVM(b *testing.B) {
	from, to := benchmarkLists()
	revision := from.Revision()
	b.ReportAllocs()
	for b.Loop() {
		revision++
		from.Update(versioner.Update{Revision: revision, Objects: []keeper.Object{benchmarkObject(revision)}})
		if _, applied := to.Apply(from.ChangesAfter(to.Base())); !applied {
			b.Fatal("the change was not applied")
		}
	}
}

// The cost of a whole list of 12,000 objects for a VM without one.
func BenchmarkWholeList(b *testing.B) {
	from, _ := benchmarkLists()
	c := from.ChangesAfter(0)
	b.ReportAllocs()
	for b.Loop() {
		versioner.NewList().Apply(c)
	}
}
