// Package rendezvous orders names by rendezvous hashing, so that processes that
// know the same names agree on an order without communication.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

type scored struct {
	name  string
	score uint64
}

// Score returns the number by which name ranks for key; higher ones go first.
func Score(key, name string) uint64 { return xxhash.Sum64String(key + "\x00" + name) }

// Top returns the n names that rank highest for key, highest first.
func Top(key string, names []string, n int) []string {
	all := make([]scored, 0, len(names))
	for _, name := range names {
		all = append(all, scored{name, Score(key, name)})
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.name, b.name))
	})
	out := make([]string, 0, len(all))
	for _, s := range all[:max(0, min(n, len(all)))] {
		out = append(out, s.name)
	}
	return out
}

// InTop reports whether name is among the n names that rank highest for key.
func InTop(key, name string, names []string, n int) bool {
	return slices.Contains(Top(key, names, n), name)
}
