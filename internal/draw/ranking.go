package draw

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"almondreel.example/almondreel/pkg/stripe"
)

// ranking remembers an agent's position at each piece for as long as the agents
// that it is ranked among stay the same: working it out takes a hash of each.
type ranking struct {
	among     uint64     // digest of their names
	first     []string   // those that rank first, if that matters
	positions []int      // by piece; unknown where it was not asked for
	orders    [][]string // of those that rank first, by piece; nil where it was not asked for
}

const unknown = -1

// renew forgets the positions if others are ranked now, and reports whether they are.
func (r *ranking) renew(names []string, pieces int) bool {
	digest := uint64(len(names))
	for _, name := range names {
		digest ^= xxhash.Sum64String(name) // whatever their order
	}
	if r.positions != nil && digest == r.among {
		return false
	}
	r.among, r.positions, r.orders = digest, make([]int, pieces), make([][]string, pieces)
	for piece := range r.positions {
		r.positions[piece] = unknown
	}
	return true
}

func (r *ranking) position(piece int, find func() int) int {
	if r.positions[piece] == unknown {
		r.positions[piece] = find()
	}
	return r.positions[piece]
}

// order returns the agents that rank first in the order in which they take a piece.
func (r *ranking) order(piece int) []string {
	if r.orders[piece] == nil {
		r.orders[piece] = stripe.Rank(strconv.Itoa(piece), r.first)
	}
	return r.orders[piece]
}
