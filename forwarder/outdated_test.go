package forwarder

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/marigoldgauge/marigoldgauge/coder"
	"github.com/marigoldgauge/marigoldgauge/messenger"
	"github.com/marigoldgauge/marigoldgauge/timekeeper"
	"github.com/marigoldgauge/marigoldgauge/timestamper"
)

// A batch that lay in the network while its VM gave it up must not run later.
func TestBatchesThatWereLongOnTheirWayAreRefused(t *testing.T) {
	tests := []struct {
		name    string
		onWay   time.Duration
		process uint64
		refused bool
	}{
		{name: "at once", onWay: time.Millisecond},
		{name: "slow", onWay: 400 * time.Millisecond},
		{name: "after its VM may have given it up", onWay: 600 * time.Millisecond, refused: true},
		{name: "after a cut", onWay: 3 * time.Second, refused: true},
		{name: "meant for the process before", process: 1, refused: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := NewWithT(t)
			now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
			s := NewServer(nil, nil, nil, nil, timekeeper.ClockFunc(func() time.Time { return now }))
			book := timestamper.NewCache[string]()
			stamp := s.issuer.Issue(now)
			if tt.process != 0 {
				stamp.ProcessID = tt.process
			}
			book.Add(now, "receiver", stamp)
			now = now.Add(10 * time.Second)
			sent, _ := book.Advanced(now, "receiver")
			now = now.Add(tt.onWay)
			err := s.outdated(&messenger.WorkRequest{Sent: stampOut(sent)})
			if !tt.refused {
				g.Expect(err).NotTo(HaveOccurred())
				return
			}
			g.Expect(coder.From(err).Code).To(Equal(coder.OwnerMoved))
			g.Expect(coder.From(err).Outcome).To(Equal(coder.NotRun))
		})
	}
}
