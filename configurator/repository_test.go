package configurator_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/marigoldgauge/marigoldgauge/coder"
	"github.com/marigoldgauge/marigoldgauge/configurator"
	"github.com/marigoldgauge/marigoldgauge/keeper"
	"github.com/marigoldgauge/marigoldgauge/storefaker"
)

// now is the wall-clock time in all tests.
var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// newBoard returns a Repository on a new store with a template, a route and an organisation.
func newBoard(t *testing.T) (*configurator.Repository, *storefaker.Server) {
	t.Helper()
	g := NewWithT(t)
	store := storefaker.New()
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	b := configurator.NewRepository(keeper.New(server.URL, nil))
	propose(g, b, "first", []configurator.Edit{
		{Kind: configurator.PutTemplate, Template: &configurator.Template{
			Name: "standard", Rate: configurator.NumberBound{Default: 50, Min: 1, Max: 100}, Burst: configurator.NumberBound{Default: 50, Min: 1, Max: 100},
			Staleness: configurator.DurationBound{Default: configurator.Duration{Duration: 5 * time.Second}, Min: configurator.Duration{Duration: time.Second}, Max: configurator.Duration{Duration: time.Minute}},
		}},
		{Kind: configurator.PutRoute, Route: &configurator.Route{Database: "d", Group: "g", Capacity: 120}},
		{Kind: configurator.PutOrganisation, Organisation: &configurator.Organisation{Name: "o", Template: "standard", Databases: []string{"d"}}},
	})
	_, err := b.Accept(context.Background(), "first", "a", now)
	g.Expect(err).NotTo(HaveOccurred())
	return b, store
}

func propose(g *WithT, b *configurator.Repository, id string, edits []configurator.Edit) {
	_, err := b.Propose(context.Background(), configurator.Change{ID: id, Proposer: "p", Proposed: now, Edits: edits})
	g.Expect(err).NotTo(HaveOccurred())
}

func setRate(value string) []configurator.Edit {
	return []configurator.Edit{{Kind: configurator.SetOrganisation, Object: "o", Parameter: configurator.Rate, Value: value}}
}

// Two operators accept proposals with the same base. The first one succeeds; the
// second one gets a conflict that lists the accepted edits, so an accepted
// configuration is never reverted.
func TestConcurrentAccepts(t *testing.T) {
	g := NewWithT(t)
	b, _ := newBoard(t)
	ctx := context.Background()
	propose(g, b, "x", setRate("60"))
	propose(g, b, "y", setRate("70"))
	_, err := b.Accept(ctx, "x", "a", now)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = b.Accept(ctx, "y", "b", now)
	g.Expect(coder.Is(err, coder.ProposalConflict)).To(BeTrue())
	g.Expect(err).To(MatchError(ContainSubstring("generation 2 by p: set-organisation o rate=60")))
	s, _, err := b.Load(ctx)
	g.Expect(err).NotTo(HaveOccurred())
	o, _ := s.Organisation("o")
	g.Expect(*o.Rate).To(Equal(60.0))
}

func TestAcceptIsIdempotent(t *testing.T) {
	g := NewWithT(t)
	b, _ := newBoard(t)
	ctx := context.Background()
	propose(g, b, "x", setRate("60"))
	first, err := b.Accept(ctx, "x", "a", now)
	g.Expect(err).NotTo(HaveOccurred())
	again, err := b.Accept(ctx, "x", "b", now.Add(time.Hour))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(again).To(Equal(first))
}

// The write takes effect but its response is lost. Propose and Accept read the
// object back and recognise their own write by the proposal's identifier.
func TestLostResponses(t *testing.T) {
	g := NewWithT(t)
	b, store := newBoard(t)
	ctx := context.Background()
	store.SetFaults(storefaker.Faults{DroppedResponses: 1})
	propose(g, b, "x", setRate("60"))
	store.SetFaults(storefaker.Faults{DroppedResponses: 1})
	c, err := b.Accept(ctx, "x", "a", now)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(c.Generation).To(Equal(uint64(2)))
}

func TestStoreUnavailable(t *testing.T) {
	g := NewWithT(t)
	b, store := newBoard(t)
	propose(g, b, "x", setRate("60"))
	store.SetFaults(storefaker.Faults{Down: true})
	_, err := b.Accept(context.Background(), "x", "a", now)
	g.Expect(coder.Is(err, coder.StoreUnavailable)).To(BeTrue())
	store.SetFaults(storefaker.Faults{})
	_, err = b.Accept(context.Background(), "x", "a", now)
	g.Expect(err).NotTo(HaveOccurred())
}

func TestInvalidProposals(t *testing.T) {
	b, _ := newBoard(t)
	tests := []struct {
		name string
		edit configurator.Edit
		want string
	}{
		{"out of range", setRate("500")[0], "outside the range"},
		{"not a number", setRate("much")[0], "invalid value much for the parameter rate"},
		{"unknown organisation", configurator.Edit{Kind: configurator.SetOrganisation, Object: "none", Parameter: configurator.Rate, Value: "1"}, "no organisation"},
		{"unknown parameter", configurator.Edit{Kind: configurator.SetOrganisation, Object: "o", Parameter: "speed", Value: "1"}, "unknown parameter"},
		{"unknown database", configurator.Edit{Kind: configurator.PutOrganisation, Organisation: &configurator.Organisation{Name: "p", Template: "standard", Databases: []string{"none"}}}, "unknown database"},
		{"reserved name", configurator.Edit{Kind: configurator.PutOrganisation, Organisation: &configurator.Organisation{Name: "open", Template: "standard"}}, "no name, or a reserved one"},
		{"unknown key", configurator.Edit{Kind: configurator.WithdrawKey, Object: "o", Key: &configurator.Key{ID: "none"}}, "no such key"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := NewWithT(t)
			_, err := b.Propose(context.Background(), configurator.Change{ID: tt.name, Edits: []configurator.Edit{tt.edit}})
			g.Expect(err).To(MatchError(ContainSubstring(tt.want)))
		})
	}
}

func TestRatesAboveCapacityBlockAcceptance(t *testing.T) {
	g := NewWithT(t)
	b, _ := newBoard(t)
	propose(g, b, "x", []configurator.Edit{
		{Kind: configurator.PutOrganisation, Organisation: &configurator.Organisation{Name: "p", Template: "standard", Databases: []string{"d"}}},
		{Kind: configurator.SetOrganisation, Object: "o", Parameter: configurator.Rate, Value: "100"},
	})
	_, err := b.Accept(context.Background(), "x", "a", now)
	g.Expect(err).To(MatchError(ContainSubstring("rates add up to 150 of 120")))
}

func TestLogGenerationNeverDecreases(t *testing.T) {
	g := NewWithT(t)
	b, _ := newBoard(t)
	propose(g, b, "x", setRate("60"))
	_, err := b.Accept(context.Background(), "x", "a", now)
	g.Expect(err).NotTo(HaveOccurred())
	changes, err := b.History(context.Background())
	g.Expect(err).NotTo(HaveOccurred())
	var values [][]byte
	for _, c := range changes {
		raw, err := json.Marshal(c)
		g.Expect(err).NotTo(HaveOccurred())
		values = append(values, raw)
	}
	l := configurator.NewLog()
	_, err = l.Append(values[1:])
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(l.Index().Generation()).To(BeZero(), "a gap is not skipped")
	n, err := l.Append(values)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(n).To(Equal(2))
	g.Expect(l.Restore([]byte(`{"generation":1}`))).To(Succeed())
	g.Expect(l.Index().Generation()).To(Equal(uint64(2)))
	snapshot, missing, err := l.Since(1)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(snapshot).To(BeNil())
	g.Expect(missing).To(HaveLen(1))
}

func BenchmarkIndex(b *testing.B) {
	for _, n := range []int{1, 100, 10000} {
		b.Run(fmt.Sprintf("organisations=%d", n), func(b *testing.B) {
			s := configurator.State{Templates: []configurator.Template{{Name: "t"}}, Routes: []configurator.Route{{Database: "d", Group: "g"}}}
			for i := range n {
				s.Organisations = append(s.Organisations, configurator.Organisation{Name: fmt.Sprintf("o%06d", i), Template: "t", Databases: []string{"d"}})
			}
			b.ReportAllocs()
			for range b.N {
				configurator.NewIndex(s)
			}
		})
	}
}
