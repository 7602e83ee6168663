package switcher_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/marigoldgauge/marigoldgauge/modeller"
	"github.com/marigoldgauge/marigoldgauge/observer"
	"github.com/marigoldgauge/marigoldgauge/switcher"
	"github.com/marigoldgauge/marigoldgauge/tracker"
)

// report returns the report of an instance that has received the log up to an
// offset. A negative offset stands for no response.
func report(id string, offset int, leads, leaving bool) switcher.InstanceReport {
	r := switcher.InstanceReport{Instance: observer.Instance{ID: id, Leaving: leaving}}
	if offset >= 0 {
		r.Status = &modeller.InstanceStatus{IsPrimary: leads, Term: 1, Received: tracker.Position{Term: 1, Offset: uint64(offset)}}
	}
	return r
}

func TestChooseSuccessor(t *testing.T) {
	replica := func(id string, offset int) switcher.InstanceReport { return report(id, offset, false, false) }
	stepped := report("p", 9, false, false)
	leading := report("p", 9, true, false)
	silent := report("p", -1, false, false)
	leaving := report("p", 9, false, true)
	tests := []struct {
		name     string
		former   *switcher.InstanceReport
		replicas []switcher.InstanceReport
		want     string
	}{
		{"the longest log is chosen", &silent, []switcher.InstanceReport{replica("a", 7), replica("b", 9)}, "b"},
		{"a replica does not respond and may hold more", &silent, []switcher.InstanceReport{replica("a", 7), replica("b", -1)}, ""},
		{"a replica does not respond, the former primary still leads", &leading, []switcher.InstanceReport{replica("a", 9), replica("b", -1)}, ""},
		{"a replica does not respond, another holds the whole log of the former primary", &stepped, []switcher.InstanceReport{replica("a", 9), replica("b", -1)}, "a"},
		{"no replica holds the whole log of the former primary, which stays", &stepped, []switcher.InstanceReport{replica("a", 8), replica("b", -1)}, "p"},
		{"no replica holds the whole log of the former primary, which is leaving", &leaving, []switcher.InstanceReport{replica("a", 8), replica("b", -1)}, ""},
		{"an instance that stays is preferred to one that is leaving", nil, []switcher.InstanceReport{report("a", 9, false, true), replica("b", 9)}, "b"},
		{"the longest log is chosen even if the instance is leaving", nil, []switcher.InstanceReport{report("a", 9, false, true), replica("b", 8)}, "a"},
		{"no instance responds", &silent, []switcher.InstanceReport{replica("a", -1), replica("b", -1)}, ""},
		{"no replica is listed", &silent, nil, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := NewWithT(t)
			got, ok := switcher.ChooseSuccessor(tt.former, tt.replicas)
			g.Expect(got.ID).To(Equal(tt.want))
			g.Expect(ok).To(Equal(tt.want != ""))
		})
	}
}
