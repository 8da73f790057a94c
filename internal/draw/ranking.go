package draw

import "github.com/cespare/xxhash/v2"

// ranking remembers an agent's position at each piece for as long as the agents
// that it is ranked among stay the same: working it out takes a hash of each.
type ranking struct {
	among     uint64   // digest of their names
	first     []string // those that rank first, if that matters
	positions []int    // by piece; unknown where it was not asked for
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
	r.among, r.positions = digest, make([]int, pieces)
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
