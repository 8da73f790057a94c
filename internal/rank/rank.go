// Package rank orders names by rendezvous hashing, so that processes that know
// the same names agree on an order without talking.
package rank

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

type scored struct {
	name  string
	score uint64
}

// First returns the n names that rank highest for key, best first.
func First(key string, names []string, n int) []string {
	all := make([]scored, 0, len(names))
	for _, name := range names {
		all = append(all, scored{name, xxhash.Sum64String(key + "\x00" + name)})
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

// Among reports whether name is one of the n that rank highest for key.
func Among(key, name string, names []string, n int) bool {
	return slices.Contains(First(key, names, n), name)
}
