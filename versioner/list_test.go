package versioner_test

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/marigoldgauge/marigoldgauge/keeper"
	"github.com/marigoldgauge/marigoldgauge/versioner"
)

// store is a store with one list of objects.
type store struct {
	revision uint64
	objects  map[string]keeper.Object
}

// change puts or deletes a random object, and returns its key.
func (s *store) change(r *rand.Rand) string {
	s.revision++
	key := fmt.Sprintf("k-%d", r.IntN(12))
	if _, ok := s.objects[key]; ok && r.IntN(3) == 0 {
		delete(s.objects, key)
		return key
	}
	s.objects[key] = keeper.Object{Key: key, Version: strconv.FormatUint(s.revision, 10), Revision: s.revision}
	return key
}

// put writes an object.
func (s *store) put(key string) {
	s.revision++
	s.objects[key] = keeper.Object{Key: key, Version: strconv.FormatUint(s.revision, 10), Revision: s.revision}
}

// changesOf returns the update that the changes of keys lead to.
func (s *store) changesOf(keys map[string]bool) versioner.Update {
	u := versioner.Update{Revision: s.revision}
	for key := range keys {
		if o, ok := s.objects[key]; ok {
			u.Objects = append(u.Objects, o)
		} else {
			u.Removed = append(u.Removed, key)
		}
	}
	return u
}

// whole returns an update with the whole list.
func whole(revision uint64, objects map[string]keeper.Object) versioner.Update {
	return versioner.Update{Revision: revision, Objects: slices.Collect(maps.Values(objects)), Whole: true}
}

// mirror is the objects that the updates returned by a list lead to.
type mirror map[string]keeper.Object

// add applies an update. It fails the test if the update holds what the mirror has already.
func (m mirror) add(g Gomega, u versioner.Update) {
	for _, o := range u.Objects {
		g.Expect(m[o.Key]).NotTo(Equal(o))
		m[o.Key] = o
	}
	for _, key := range u.Removed {
		g.Expect(m).To(HaveKey(key))
		delete(m, key)
	}
}

// sortedObjects returns the objects of the store.
func (s *store) sortedObjects() []keeper.Object {
	out := []keeper.Object{}
	for _, key := range slices.Sorted(maps.Keys(s.objects)) {
		out = append(out, s.objects[key])
	}
	return out
}

// VMs that read the store or fetch changes from each other, in any order, hold what the
// store held at the revision of their list. Some of them read the whole list, the others the
// changes since they last read the store. What they report as new leads to the same objects.
func TestListsFollowTheStore(t *testing.T) {
	for seed := range uint64(200) {
		g := NewWithT(t)
		r := rand.New(rand.NewPCG(seed, 1))
		s := &store{revision: 1, objects: map[string]keeper.Object{}}
		history := map[uint64][]keeper.Object{}
		lists, mirrors, unread := make([]*versioner.List, 5), make([]mirror, 5), make([]map[string]bool, 5)
		for n := range lists {
			lists[n], mirrors[n] = versioner.NewList(), mirror{}
		}
		for range 300 {
			key := s.change(r)
			for _, keys := range unread {
				if keys != nil {
					keys[key] = true
				}
			}
			history[s.revision] = s.sortedObjects()
			n := r.IntN(len(lists))
			to := lists[n]
			var u versioner.Update
			if r.IntN(4) == 0 {
				if unread[n] == nil || r.IntN(4) == 0 {
					u, _ = to.Update(whole(s.revision, s.objects))
				} else {
					u, _ = to.Update(s.changesOf(unread[n]))
				}
				unread[n] = map[string]bool{}
			} else if from := lists[r.IntN(len(lists))]; from.Revision() > 0 {
				u, _ = to.Apply(from.ChangesAfter(to.Base()))
			}
			mirrors[n].add(g, u)
			if to.Base() > 0 {
				g.Expect(to.Objects()).To(Equal(history[to.Revision()]), "seed %d, revision %d", seed, to.Revision())
				g.Expect(to.Objects()).To(Equal((&store{objects: mirrors[n]}).sortedObjects()), "seed %d, revision %d", seed, to.Revision())
			}
		}
	}
}

// Guards against changes that are lost when the changes that a list remembers are compacted,
// and against changes after a version before which removals were forgotten. The changes of
// one source always lead to its list.
func TestChangesOfALongHistory(t *testing.T) {
	tests := []struct {
		name    string
		objects int
		// forgets reports that more objects are removed than are remembered.
		forgets bool
	}{
		{"few objects that change often", 12, false},
		{"many objects of which each is removed", 3000, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := NewWithT(t)
			r := rand.New(rand.NewPCG(1, 1))
			s := &store{revision: 1, objects: map[string]keeper.Object{}}
			for n := range tt.objects {
				s.put(fmt.Sprintf("k-%d", n))
			}
			from, to := versioner.NewList(), versioner.NewList()
			from.Update(whole(s.revision, s.objects))
			to.Update(whole(s.revision, s.objects))
			first := s.revision
			for step := range 6000 {
				key := fmt.Sprintf("k-%d", step%tt.objects)
				if step < tt.objects || step%50 == 0 {
					s.revision++
					delete(s.objects, key)
				} else {
					s.put(key)
				}
				from.Update(s.changesOf(map[string]bool{key: true}))
				if r.IntN(100) != 0 {
					continue
				}
				after := to.Base()
				c := from.ChangesAfter(after)
				g.Expect(c.After).To(Equal(after))
				changed := slices.DeleteFunc(s.sortedObjects(), func(o keeper.Object) bool { return o.Revision <= after })
				g.Expect(slices.Equal(versions(c.Objects), versions(changed))).To(BeTrue())
				_, applied := to.Apply(c)
				g.Expect(applied).To(BeTrue())
			}
			g.Expect(from.ChangesAfter(first).After == 0).To(Equal(tt.forgets))
		})
	}
}

// Guards against an object that is sent twice, or to VMs that have it, after a stale list of
// the store lacked it: its entry is out of order.
func TestObjectListedAgain(t *testing.T) {
	g := NewWithT(t)
	object := func(key string, revision uint64) keeper.Object { return keeper.Object{Key: key, Revision: revision} }
	l := versioner.NewList()
	l.Update(versioner.Update{Revision: 10, Whole: true})
	l.Update(versioner.Update{Revision: 18, Objects: []keeper.Object{object("a", 18)}})
	l.Update(versioner.Update{Revision: 20, Removed: []string{"a"}})
	l.Update(versioner.Update{Revision: 22, Objects: []keeper.Object{object("a", 18)}, Whole: true})
	g.Expect(l.ChangesAfter(15).Objects).To(Equal([]keeper.Object{object("a", 18)}))
	g.Expect(l.ChangesAfter(15).Removed).To(BeEmpty())
	g.Expect(l.ChangesAfter(19).Objects).To(BeEmpty())
}

// Guards against the whole list for all VMs after the loss of an availability zone, which
// removes a third of the instances at once.
func TestRemovalOfAThird(t *testing.T) {
	g := NewWithT(t)
	const objects = 6000
	s := &store{revision: objects, objects: map[string]keeper.Object{}}
	for n := range objects {
		key := strconv.Itoa(n)
		s.objects[key] = keeper.Object{Key: key, Version: key, Revision: uint64(n)}
	}
	l := versioner.NewList()
	l.Update(whole(s.revision, s.objects))
	u := versioner.Update{Revision: objects + 1}
	for n := range objects / 3 {
		u.Removed = append(u.Removed, strconv.Itoa(n))
	}
	l.Update(u)
	c := l.ChangesAfter(objects)
	g.Expect(c.After).To(Equal(uint64(objects)))
	g.Expect(c.Removed).To(HaveLen(objects / 3))
}

// versions returns the keys and versions of objects.
func versions(objects []keeper.Object) []string {
	out := make([]string, len(objects))
	for n, o := range objects {
		out[n] = o.Key + "@" + o.Version
	}
	return out
}

// Guards against an older state of an object that replaces a later one, and against the loss
// of a removal of which the list does not know the object: another VM may have it.
func TestUpdate(t *testing.T) {
	object := func(key string, revision uint64) keeper.Object {
		return keeper.Object{Key: key, Version: strconv.FormatUint(revision, 10), Revision: revision}
	}
	a, b := object("a", 3), object("b", 7)
	tests := []struct {
		name        string
		update      versioner.Update
		want        versioner.Update
		applied     bool
		wantRemoved []string
	}{
		{"an older state in a change", versioner.Update{Revision: 12, Objects: []keeper.Object{object("a", 2)}}, versioner.Update{Revision: 12}, true, nil},
		{"an older state in a list", versioner.Update{Revision: 12, Objects: []keeper.Object{object("a", 2), b}, Whole: true}, versioner.Update{Revision: 12, Objects: []keeper.Object{object("a", 2)}}, true, nil},
		{"a removal of an unknown object", versioner.Update{Revision: 12, Removed: []string{"c"}}, versioner.Update{Revision: 12}, true, []string{"c"}},
		{"a removal", versioner.Update{Revision: 12, Removed: []string{"b"}}, versioner.Update{Revision: 12, Removed: []string{"b"}}, true, []string{"b"}},
		{"deletions between two lists", versioner.Update{Revision: 30, Objects: []keeper.Object{b}, Whole: true}, versioner.Update{Revision: 30, Removed: []string{"a"}}, true, []string{"a"}},
		{"no changes", versioner.Update{Revision: 12}, versioner.Update{Revision: 12}, true, nil},
		{"an outdated change", versioner.Update{Revision: 9, Removed: []string{"b"}}, versioner.Update{}, false, nil},
		{"an outdated list", versioner.Update{Revision: 9, Whole: true}, versioner.Update{}, false, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := NewWithT(t)
			l := versioner.NewList()
			_, applied := l.Update(versioner.Update{Revision: 10})
			g.Expect(applied).To(BeFalse(), "changes without a list")
			l.Update(whole(10, map[string]keeper.Object{"a": a, "b": b}))
			got, applied := l.Update(tt.update)
			g.Expect(got).To(Equal(tt.want))
			g.Expect(applied).To(Equal(tt.applied))
			g.Expect(l.ChangesAfter(10).Removed).To(Equal(tt.wantRemoved))
		})
	}
}

func TestChanges(t *testing.T) {
	object := func(key string, revision uint64) keeper.Object { return keeper.Object{Key: key, Revision: revision} }
	l := versioner.NewList()
	l.Update(whole(10, map[string]keeper.Object{"a": object("a", 3), "b": object("b", 7)}))
	l.Update(whole(20, map[string]keeper.Object{"a": object("a", 15), "c": object("c", 18)}))
	hash := l.ChangesAfter(20).Hash
	tests := []struct {
		name  string
		after uint64
		want  versioner.Changes
	}{
		{"of a VM without a list", 0, versioner.Changes{Revision: 20, Objects: []keeper.Object{object("a", 15), object("c", 18)}}},
		{"before the first known version", 9, versioner.Changes{Revision: 20, Objects: []keeper.Object{object("a", 15), object("c", 18)}}},
		{"from a known version", 10, versioner.Changes{After: 10, Revision: 20, Hash: hash, Objects: []keeper.Object{object("a", 15), object("c", 18)}, Removed: []string{"b"}}},
		{"between two versions", 16, versioner.Changes{After: 16, Revision: 20, Hash: hash, Objects: []keeper.Object{object("c", 18)}, Removed: []string{"b"}}},
		{"of the current version", 20, versioner.Changes{After: 20, Revision: 20, Hash: hash, Objects: []keeper.Object{}}},
		{"of a later version than the own one", 21, versioner.Changes{Revision: 20, Objects: []keeper.Object{object("a", 15), object("c", 18)}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			NewWithT(t).Expect(l.ChangesAfter(tt.after)).To(Equal(tt.want))
		})
	}
}

// Guards against another encoded form or hash, which VMs of earlier versions would refuse during
// a rolling upgrade.
func TestEncodedChanges(t *testing.T) {
	g := NewWithT(t)
	l := versioner.NewList()
	l.Update(versioner.Update{Revision: 10, Whole: true, Objects: []keeper.Object{{Key: "s/a", Version: "3", Revision: 3, Value: []byte("x")}, {Key: "s/b", Version: "7", Revision: 7}}})
	l.Update(versioner.Update{Revision: 20, Objects: []keeper.Object{{Key: "s/c", Version: "18", Revision: 18, Value: []byte("y")}}, Removed: []string{"s/b"}})
	tests := []struct {
		after uint64
		want  string
	}{
		{0, `{"revision":20,"objects":[{"key":"s/a","version":"3","revision":3,"value":"eA=="},{"key":"s/c","version":"18","revision":18,"value":"eQ=="}]}`},
		{10, `{"after":10,"revision":20,"objects":[{"key":"s/c","version":"18","revision":18,"value":"eQ=="}],"hash":4203704866286408017,"removed":["s/b"]}`},
		{20, `{"after":20,"revision":20,"objects":[],"hash":4203704866286408017}`},
	}
	for _, tt := range tests {
		got, err := json.Marshal(l.ChangesAfter(tt.after))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(got)).To(Equal(tt.want))
	}
}

// An object that its sender never saw, since it was added and removed between two of its
// versions, is not left in the list: the receiver requests the whole list.
func TestDivergedList(t *testing.T) {
	g := NewWithT(t)
	from, to := versioner.NewList(), versioner.NewList()
	first := map[string]keeper.Object{"a": {Key: "a", Version: "3", Revision: 3}}
	from.Update(whole(10, first))
	to.Update(whole(15, map[string]keeper.Object{"a": first["a"], "b": {Key: "b", Version: "12", Revision: 12}}))
	from.Update(whole(20, first))
	u, applied := to.Apply(from.ChangesAfter(to.Base()))
	g.Expect(u).To(Equal(versioner.Update{}))
	g.Expect(applied).To(BeFalse())
	g.Expect(to.Base()).To(BeZero())
	g.Expect(to.Objects()).To(HaveLen(2))
	u, applied = to.Apply(from.ChangesAfter(to.Base()))
	g.Expect(u).To(Equal(versioner.Update{Revision: 20, Removed: []string{"b"}}))
	g.Expect(applied).To(BeTrue())
	g.Expect(to.Base()).To(Equal(uint64(20)))
	g.Expect(to.Objects()).To(HaveLen(1))
}

// Changes that start after the known version, or end before it, are not applied.
func TestChangesOfOtherVersions(t *testing.T) {
	tests := []struct {
		name    string
		changes versioner.Changes
	}{
		{"a gap", versioner.Changes{After: 12, Revision: 15, Removed: []string{"a"}}},
		{"outdated changes", versioner.Changes{After: 5, Revision: 9, Removed: []string{"a"}}},
		{"an outdated list", versioner.Changes{Revision: 9}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := NewWithT(t)
			l := versioner.NewList()
			l.Update(whole(10, map[string]keeper.Object{"a": {Key: "a", Revision: 3}}))
			_, applied := l.Apply(tt.changes)
			g.Expect(applied).To(BeFalse())
			g.Expect(l.Objects()).To(HaveLen(1))
			g.Expect(l.Revision()).To(Equal(uint64(10)))
		})
	}
}
