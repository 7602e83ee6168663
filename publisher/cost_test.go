package publisher_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/marigoldgauge/marigoldgauge/gossiper"
	"github.com/marigoldgauge/marigoldgauge/publisher"
)

// A relay selects the states for each VM that starts among all groups.
func BenchmarkFullState(b *testing.B) {
	for _, groups := range []int{390, 4800} {
		b.Run(fmt.Sprint(groups), func(b *testing.B) {
			n := 0
			all := newGroups(groups, func(g *publisher.Group) {
				g.PrimarySince = start.Add(time.Duration(n*7919%groups) * time.Second)
				n++
			})
			p := publisher.New()
			for b.Loop() {
				p.Select(start, gossiper.ToNewVM, all)
			}
		})
	}
}
