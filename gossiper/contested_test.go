package gossiper

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"testing"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/gomega"
)

// A digest that names a part of the contested groups must not make a VM forget the others, and
// one that names all must end those that it lacks.
func TestContestedGroupsAreMerged(t *testing.T) {
	whole := func(groups ...string) Digest { return Digest{Contested: groups} }
	partial := func(groups ...string) Digest { return Digest{Contested: groups, PartialContested: true} }
	votes := func(groups ...string) Digest {
		var d Digest
		for _, group := range groups {
			d.Votes = append(d.Votes, VoteCount{Group: group, Unreachable: 1})
		}
		return d
	}
	restarted := func(d Digest) Digest {
		d.From.Incarnation = 2
		return d
	}
	tests := []struct {
		name    string
		digests []Digest
		want    []string
	}{
		{"all", []Digest{whole("a", "b")}, []string{"a", "b"}},
		{"none any more", []Digest{whole("a", "b"), whole()}, nil},
		{"one ended", []Digest{whole("a", "b"), whole("b")}, []string{"b"}},
		{"a new one", []Digest{whole("b", "c"), partial("a")}, []string{"a", "b", "c"}},
		{"no new one", []Digest{whole("a", "b"), partial()}, []string{"a", "b"}},
		{"the same again", []Digest{whole("a"), partial("b"), partial("b", "c")}, []string{"a", "b", "c"}},
		{"the digest with all was lost", []Digest{partial("b")}, []string{"b"}},
		{"a partial one was lost", []Digest{whole("a"), partial("b", "c"), whole("a", "b", "c", "d")}, []string{"a", "b", "c", "d"}},
		{"all after a part", []Digest{whole("a"), partial("b"), whole("b")}, []string{"b"}},
		{"votes before", []Digest{votes("a", "b"), partial("c")}, []string{"a", "b", "c"}},
		{"a new process of the relay", []Digest{whole("a"), restarted(partial("b"))}, []string{"b"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := NewWithT(t)
			f := newCostFleet(30, 6)
			var s relayState
			for _, d := range tt.digests {
				d.From.AvailabilityZone = f.zone
				s.apply(f.now, &d)
			}
			f.relayStates = map[string]*relayState{"relay": &s}
			f.peers = map[string]*Peer{}
			g.Expect(slices.Sorted(maps.Keys(f.Contested(f.now)))).To(Equal(tt.want))
		})
	}
}

// digestTransport keeps the last digest to each address.
type digestTransport struct {
	silentTransport
	digests map[netip.AddrPort]Digest
	bytes   map[netip.AddrPort]int
}

func (t *digestTransport) Send(to netip.AddrPort, b []byte) error {
	if b[0] != frameDigest {
		return nil
	}
	var h header
	body, err := cbor.UnmarshalFirst(b[1:], &h)
	if err != nil {
		return err
	}
	var d Digest
	if err := cbor.Unmarshal(body, &d); err != nil {
		return err
	}
	t.digests[to] = d
	t.bytes[to] += len(b)
	return nil
}

// While primaries are lost one after the other, a relay must not send the names of all of them with
// each digest ahead of the interval, except to processes that cannot merge them.
func TestContestedGroupsAreSentOnce(t *testing.T) {
	g := NewWithT(t)
	f := newCostFleet(300, 6)
	sent := &digestTransport{digests: map[netip.AddrPort]Digest{}, bytes: map[netip.AddrPort]int{}}
	f.transport = sent
	for n := range f.reports {
		f.reports[n].SkipsVotes = true
		f.reports[n].MergesContested = n%2 == 0
	}
	var old, merging netip.AddrPort
	for _, p := range f.reports {
		if slices.Contains(f.relays(f.now, f.zone), p.Name) {
			continue
		}
		if p.MergesContested {
			merging = p.Address
		} else {
			old = p.Address
		}
	}
	var knownByOld, knownByMerging relayState
	const roundsPerInterval, rounds = 5, 50
	for n := range rounds {
		if n%roundsPerInterval == 0 {
			f.receiveAll()
		}
		for k := range 10 {
			f.peers[f.reports[0].Name].Groups = append(f.peers[f.reports[0].Name].Groups, GroupStatus{Group: fmt.Sprintf("db-%d", 10*n+k), Term: 1, Unreachable: true})
		}
		f.reports[0].Groups = f.peers[f.reports[0].Name].Groups
		f.sendRound(f.now, n%roundsPerInterval != 0)
		for at, s := range map[netip.AddrPort]*relayState{old: &knownByOld, merging: &knownByMerging} {
			d := sent.digests[at]
			s.apply(f.now, &d)
		}
		g.Expect(knownByOld.contested).To(HaveLen(10 * (n + 1)))
		g.Expect(knownByMerging.contested).To(Equal(knownByOld.contested))
		g.Expect(sent.digests[old].PartialContested).To(BeFalse())
	}
	t.Logf("old %d bytes, merging %d", sent.bytes[old], sent.bytes[merging])
	g.Expect(2 * sent.bytes[merging]).To(BeNumerically("<", sent.bytes[old]))

	// Groups that are no longer contested end with the next digest of an interval.
	f.reports[0].Groups = nil
	f.receiveAll()
	for _, urgent := range []bool{true, false} {
		f.sendRound(f.now, urgent)
		d := sent.digests[merging]
		knownByMerging.apply(f.now, &d)
		g.Expect(knownByMerging.contested == nil).To(Equal(!urgent))
	}
}
