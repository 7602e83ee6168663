package switcher_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/marigoldgauge/marigoldgauge/observer"
	"github.com/marigoldgauge/marigoldgauge/phraser"
	"github.com/marigoldgauge/marigoldgauge/switcher"
	"github.com/marigoldgauge/marigoldgauge/tracker"
)

// witness is an instance that has received a log up to an offset; a negative one did not answer.
func witness(id string, offset int, leads, leaving bool) switcher.Witness {
	w := switcher.Witness{Instance: observer.Instance{ID: id, Leaving: leaving}}
	if offset >= 0 {
		w.Status = &phraser.InstanceStatus{Leads: leads, Term: 1, Received: tracker.Position{Term: 1, Offset: uint64(offset)}}
	}
	return w
}

func TestElect(t *testing.T) {
	follower := func(id string, offset int) switcher.Witness { return witness(id, offset, false, false) }
	stepped := witness("p", 9, false, false)
	leading := witness("p", 9, true, false)
	silent := witness("p", -1, false, false)
	leaving := witness("p", 9, false, true)
	tests := []struct {
		name     string
		former   *switcher.Witness
		replicas []switcher.Witness
		want     string
	}{
		{"the longest log leads", &silent, []switcher.Witness{follower("a", 7), follower("b", 9)}, "b"},
		{"a replica is silent and may hold more", &silent, []switcher.Witness{follower("a", 7), follower("b", -1)}, ""},
		{"a replica is silent, the former primary still leads", &leading, []switcher.Witness{follower("a", 9), follower("b", -1)}, ""},
		{"a replica is silent, another holds all of the former primary", &stepped, []switcher.Witness{follower("a", 9), follower("b", -1)}, "a"},
		{"nobody holds all of the former primary, which stays", &stepped, []switcher.Witness{follower("a", 8), follower("b", -1)}, "p"},
		{"nobody holds all of the former primary, which leaves", &leaving, []switcher.Witness{follower("a", 8), follower("b", -1)}, ""},
		{"an instance that stays goes before one that leaves", nil, []switcher.Witness{witness("a", 9, false, true), follower("b", 9)}, "b"},
		{"the longest log even if it leaves", nil, []switcher.Witness{witness("a", 9, false, true), follower("b", 8)}, "a"},
		{"nobody answers", &silent, []switcher.Witness{follower("a", -1), follower("b", -1)}, ""},
		{"no replica is listed", &silent, nil, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := NewWithT(t)
			got, ok := switcher.Elect(tt.former, tt.replicas)
			g.Expect(got.ID).To(Equal(tt.want))
			g.Expect(ok).To(Equal(tt.want != ""))
		})
	}
}
