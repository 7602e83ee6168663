package switcher

import (
	"slices"
	"time"

	"github.com/marigoldgauge/marigoldgauge/gossiper"
	"github.com/marigoldgauge/marigoldgauge/ranker"
)

// rank returns the rank of this VM among those that may replace primaries, or -1.
func (s *Switcher) rank(now time.Time) int {
	if !s.Eligible(now) || s.abstains(now) {
		return -1
	}
	holder, generation := s.Announcer.Record().Holder, s.Fleet.Generation(now)
	if r := s.lastRank; r.holder != holder || r.generation != generation || now.Sub(r.at) >= rankMaxAge {
		rank := slices.Index(rankVMs(gossiper.StoreReachableNames(s.Name, s.Fleet.Alive(now)), holder), s.Name)
		s.lastRank = cachedRank{rank: rank, holder: holder, generation: generation, at: now}
	}
	return s.lastRank.rank
}

// cachedRank is the rank of this VM with the state from which it was computed.
type cachedRank struct {
	rank       int
	holder     string
	generation uint64
	at         time.Time
}

// rankVMs ranks the VMs that may replace primaries. The holder of the lease comes
// first, since any other VM would have to wait until the lease has expired.
func rankVMs(names []string, holder string) []string {
	ranked := ranker.Rank(duty, names)
	if n := slices.Index(ranked, holder); n > 0 {
		ranked = slices.Insert(slices.Delete(ranked, n, n+1), 0, holder)
	}
	return ranked
}

// followLease records when the known record of the lease last changed. It is called at
// each check, so that an old write does not pass for a new one.
func (s *Switcher) followLease(now time.Time) {
	if turn := s.Announcer.Record().Writes; turn != s.lastTurn {
		s.lastTurn, s.lastTurnAt = turn, now
	}
}

// isHolderActive reports whether another VM holds the lease and has just written it. While
// it replaces many primaries, it is later than usual, and no other VM could take the lease.
func (s *Switcher) isHolderActive(now time.Time) bool {
	record := s.Announcer.Record()
	return record.Holder != s.Name && record.Writes > 0 && now.Sub(s.lastTurnAt) < holderActivePeriod
}
