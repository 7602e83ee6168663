// Package placer proposes which VM takes a duty, by rendezvous hashing.
package placer

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Rank orders the candidates for a duty from the most to the least preferred.
//
// All processes that know the same candidates get the same order; a candidate
// that joins or leaves moves only the duties that it gains or loses.
func Rank(duty string, candidates []string) []string {
	ranked := append([]string(nil), candidates...)
	weights := make(map[string]uint64, len(ranked))
	for _, c := range ranked {
		weights[c] = weight(duty, c)
	}
	sort.Slice(ranked, func(i, j int) bool {
		wi, wj := weights[ranked[i]], weights[ranked[j]]
		if wi != wj {
			return wi > wj
		}
		return ranked[i] < ranked[j]
	})
	return ranked
}

// First returns the most preferred candidate for a duty, or "" without candidates.
func First(duty string, candidates []string) string {
	best := ""
	var bestWeight uint64
	for _, c := range candidates {
		w := weight(duty, c)
		if best == "" || w > bestWeight || (w == bestWeight && c < best) {
			best, bestWeight = c, w
		}
	}
	return best
}

// weight hashes a duty and a candidate.
func weight(duty, candidate string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(duty)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(candidate)
	return d.Sum64()
}
