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

func TestDecide(t *testing.T) {
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	group := []observer.Instance{{ID: "p"}, {ID: "a"}, {ID: "b"}}
	leaving := []observer.Instance{{ID: "p", Leaving: true}, {ID: "a"}, {ID: "b"}}
	alone := []observer.Instance{{ID: "p", Leaving: true}, {ID: "a", Leaving: true}}
	tests := []struct {
		name string
		view switcher.View
		want switcher.Verdict
	}{
		{"all is well", switcher.View{Known: true, Primary: "p", Instances: group, ServedVotes: 7}, switcher.Keep},
		{"one slow answer", switcher.View{Known: true, Primary: "p", Instances: group, Unserved: ago(200 * time.Millisecond), LostVotes: 7}, switcher.Keep},
		{"lost for most", switcher.View{Known: true, Primary: "p", Instances: group, Unserved: ago(time.Second), LostVotes: 4, ServedVotes: 3}, switcher.Lost},
		{"lost for this VM and few others", switcher.View{Known: true, Primary: "p", Instances: group, Unserved: ago(time.Minute), LostVotes: 2, ServedVotes: 5}, switcher.Keep},
		{"lost for others, not for this VM", switcher.View{Known: true, Primary: "p", Instances: group, LostVotes: 7}, switcher.Keep},
		{"lost for most, another VM goes first", switcher.View{Known: true, Primary: "p", Instances: group, Unserved: ago(time.Second), LostVotes: 7, Rank: 1}, switcher.Keep},
		{"lost for most, the other VM did nothing", switcher.View{Known: true, Primary: "p", Instances: group, Unserved: ago(2 * time.Second), LostVotes: 7, Rank: 1}, switcher.Lost},
		{"another VM has begun a replacement", switcher.View{Known: true, Primary: "p", Instances: group, Begun: ago(2 * time.Second), ServedVotes: 7}, switcher.Keep},
		{"another VM has left a replacement", switcher.View{Known: true, Primary: "p", Instances: group, Begun: ago(6 * time.Second), ServedVotes: 7}, switcher.Unfinished},
		{"an earlier process of this VM has left a replacement", switcher.View{Known: true, Primary: "p", Instances: group, Begun: ago(0), Holds: true, ServedVotes: 7}, switcher.Unfinished},
		{"the primary is leaving", switcher.View{Known: true, Primary: "p", Instances: leaving, ServedVotes: 7}, switcher.Leaving},
		{"the primary is leaving, another VM goes first", switcher.View{Known: true, Primary: "p", Instances: leaving, Rank: 1}, switcher.Keep},
		{"all are leaving", switcher.View{Known: true, Primary: "p", Instances: alone}, switcher.Keep},
		{"nobody leads for a moment", switcher.View{Leaderless: ago(time.Second), Instances: group}, switcher.Keep},
		{"nobody leads", switcher.View{Leaderless: ago(2 * time.Second), Instances: group}, switcher.Leaderless},
		{"nobody leads, another VM goes first", switcher.View{Leaderless: ago(2 * time.Second), Instances: group, Rank: 1}, switcher.Keep},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			NewWithT(t).Expect(switcher.Decide(now, tt.view)).To(Equal(tt.want))
		})
	}
}
