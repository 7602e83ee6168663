package renewer

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/marigoldgauge/marigoldgauge/gossiper"
	"github.com/marigoldgauge/marigoldgauge/leaser"
)

// Guards against a VM that counts as knowing a record because it knows another one of the same turn (review/12): the
// successor would be opened while that VM treats the former primary as current.
func TestAnotherRecordOfTheSameTurn(t *testing.T) {
	record := func(attempt uint64, group string) leaser.Record {
		return leaser.Record{Holder: "a", Incarnation: 1, Writes: 5, Attempt: attempt, Superseded: map[string]uint64{group: 1}}
	}
	tests := []struct {
		name       string
		held, told leaser.Record
		same       bool
	}{
		{"the same record", record(8, "g"), record(8, "g"), true},
		{"another attempt of the holder", record(7, "h"), record(8, "g"), false},
		{"a record of an earlier version", record(0, "g"), record(0, "g"), true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := NewWithT(t)
			a, b := newExchange("a"), newExchange("b")
			a.alive = []gossiper.Peer{b.peer()}
			a.apply(start, start, tt.told)
			b.apply(start, start.Add(-time.Second), tt.held)
			a.announce(b)
			g.Expect(a.acknowledged[processID{"b", 1}].record.covers(identify(tt.told))).To(Equal(tt.same))
			g.Expect(a.Sealed(start, 5)).To(Equal(tt.same))

			b.request = nil
			b.HandleNotice(start, gossiper.Message{Composed: start}, a.ComposeNotice(start))
			g.Expect(b.request == nil).To(Equal(tt.same), "a notice of another record is no news of the known one")
			b.sendRequest(start, a.peer())
			b.deliver(a)
			g.Expect(b.Record()).To(Equal(tt.told), "the later reading counts")
		})
	}
}
