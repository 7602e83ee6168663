package switcher_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/marigoldgauge/marigoldgauge/observer"
	"github.com/marigoldgauge/marigoldgauge/switcher"
)

// now is the time of every decision.
var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestDecideReplacement(t *testing.T) {
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	group := []observer.Instance{{ID: "p"}, {ID: "a"}, {ID: "b"}}
	leaving := []observer.Instance{{ID: "p", Leaving: true}, {ID: "a"}, {ID: "b"}}
	alone := []observer.Instance{{ID: "p", Leaving: true}, {ID: "a", Leaving: true}}
	tests := []struct {
		name string
		view switcher.GroupView
		want switcher.Decision
	}{
		{"the primary serves all VMs", switcher.GroupView{Known: true, Primary: "p", Instances: group, ServedVotes: 7}, switcher.Keep},
		{"one slow response", switcher.GroupView{Known: true, Primary: "p", Instances: group, UnservedSince: ago(200 * time.Millisecond), LostVotes: 7}, switcher.Keep},
		{"lost for the majority", switcher.GroupView{Known: true, Primary: "p", Instances: group, UnservedSince: ago(time.Second), LostVotes: 4, ServedVotes: 3}, switcher.Lost},
		{"lost for this VM and few others", switcher.GroupView{Known: true, Primary: "p", Instances: group, UnservedSince: ago(time.Minute), LostVotes: 2, ServedVotes: 5}, switcher.Keep},
		{"lost for others, not for this VM", switcher.GroupView{Known: true, Primary: "p", Instances: group, LostVotes: 7}, switcher.Keep},
		{"lost for the majority, another VM ranks first", switcher.GroupView{Known: true, Primary: "p", Instances: group, UnservedSince: ago(time.Second), LostVotes: 7, Rank: 1}, switcher.Keep},
		{"lost for the majority, the VM that ranks first did not act", switcher.GroupView{Known: true, Primary: "p", Instances: group, UnservedSince: ago(2 * time.Second), LostVotes: 7, Rank: 1}, switcher.Lost},
		{"another VM has started a replacement", switcher.GroupView{Known: true, Primary: "p", Instances: group, SupersededSince: ago(2 * time.Second), ServedVotes: 7}, switcher.Keep},
		{"another VM has left a replacement unfinished", switcher.GroupView{Known: true, Primary: "p", Instances: group, SupersededSince: ago(6 * time.Second), ServedVotes: 7}, switcher.Unfinished},
		{"an earlier process of this VM has left a replacement unfinished", switcher.GroupView{Known: true, Primary: "p", Instances: group, SupersededSince: ago(0), HoldsLease: true, ServedVotes: 7}, switcher.Unfinished},
		{"the primary is leaving", switcher.GroupView{Known: true, Primary: "p", Instances: leaving, ServedVotes: 7}, switcher.Leaving},
		{"the primary is leaving, another VM ranks first", switcher.GroupView{Known: true, Primary: "p", Instances: leaving, Rank: 1}, switcher.Keep},
		{"all instances are leaving", switcher.GroupView{Known: true, Primary: "p", Instances: alone}, switcher.Keep},
		{"no primary for a short time", switcher.GroupView{LeaderlessSince: ago(time.Second), Instances: group}, switcher.Keep},
		{"no primary", switcher.GroupView{LeaderlessSince: ago(2 * time.Second), Instances: group}, switcher.Leaderless},
		{"no primary, another VM ranks first", switcher.GroupView{LeaderlessSince: ago(2 * time.Second), Instances: group, Rank: 1}, switcher.Keep},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			NewWithT(t).Expect(switcher.DecideReplacement(now, tt.view)).To(Equal(tt.want))
		})
	}
}
