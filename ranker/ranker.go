// Package ranker ranks the candidates for a key, such as the VMs for a task, by
// rendezvous hashing.
package ranker

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Rank returns the candidates for a key from the most to the least preferred.
//
// All processes that know the same candidates compute the same order. A candidate
// that joins or leaves moves only the keys that it gains or loses.
func Rank(key string, candidates []string) []string {
	ranked := append([]string(nil), candidates...)
	weights := make(map[string]uint64, len(ranked))
	for _, c := range ranked {
		weights[c] = weight(key, c)
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

// RankByClass ranks the candidates for a key; those of a higher class come first.
func RankByClass(key string, candidates []string, class func(candidate string) uint8) []string {
	ranked := Rank(key, candidates)
	sort.SliceStable(ranked, func(i, j int) bool { return class(ranked[i]) > class(ranked[j]) })
	return ranked
}

// First returns the most preferred candidate for a key, or "" without candidates.
func First(key string, candidates []string) string {
	best := ""
	var bestWeight uint64
	for _, c := range candidates {
		w := weight(key, c)
		if best == "" || w > bestWeight || (w == bestWeight && c < best) {
			best, bestWeight = c, w
		}
	}
	return best
}

// weight returns the hash of a key and a candidate.
func weight(key, candidate string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(candidate)
	return d.Sum64()
}
