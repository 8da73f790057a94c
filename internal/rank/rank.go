// Package rank orders names by rendezvous hashing, so that processes that know
// the same names agree on an order without talking.
package rank

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
)

// First returns the n names that rank highest for key, best first.
func First(key string, names []string, n int) []string {
	rest := slices.Clone(names)
	slices.Sort(rest)
	out := make([]string, 0, max(0, n))
	for len(out) < n && len(rest) > 0 {
		best := rendezvous.New(rest, xxhash.Sum64String).Lookup(key)
		out = append(out, best)
		rest = slices.DeleteFunc(rest, func(name string) bool { return name == best })
	}
	return out
}

// Among reports whether name is one of the n that rank highest for key.
func Among(key, name string, names []string, n int) bool {
	return slices.Contains(First(key, names, n), name)
}
