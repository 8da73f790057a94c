package piecesched

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"almondreel.example/almondreel/pkg/takeover"
)

// ranking caches, per piece, an agent's rank and the order of the candidates.
// Computing them takes one hash per agent, so the cache is kept until the set
// of ranked agents changes.
type ranking struct {
	namesDigest uint64     // of the names of the ranked agents
	candidates  []string   // agents with the highest rank, for order; nil if unused
	positions   []int      // by piece; unknown until first requested
	orders      [][]string // of the candidates, by piece; nil until first requested
}

const unknown = -1

// reset clears the cache if the set of names has changed, and reports whether
// it has.
func (r *ranking) reset(names []string, pieces int) bool {
	digest := uint64(len(names))
	for _, name := range names {
		digest ^= xxhash.Sum64String(name) // XOR makes the digest independent of the order
	}
	if r.positions != nil && digest == r.namesDigest {
		return false
	}
	r.namesDigest, r.positions, r.orders = digest, make([]int, pieces), make([][]string, pieces)
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

// order returns the candidates in the order in which they fetch a piece.
func (r *ranking) order(piece int) []string {
	if r.orders[piece] == nil {
		r.orders[piece] = takeover.Rank(strconv.Itoa(piece), r.candidates)
	}
	return r.orders[piece]
}
