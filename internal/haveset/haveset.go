// Package haveset records which chunks of a version an agent holds. An agent's
// own set is sent to other agents as deltas, which they apply to their copy.
package haveset

import (
	"fmt"
	"math/rand/v2"

	"github.com/bits-and-blooms/bitset"

	"almondreel.example/almondreel/internal/agent"
)

// Own is an agent's own set, with the order in which chunks were added. It never
// shrinks.
type Own struct {
	run   uint64 // random and not 0; identifies this set
	bits  *bitset.BitSet
	added []uint32
}

// NewOwn returns an empty set for a version of the given number of chunks.
func NewOwn(chunks int) *Own {
	return &Own{run: rand.Uint64() | 1, bits: bitset.New(uint(chunks))}
}

// Add adds chunk i and reports whether the set did not hold it before.
func (o *Own) Add(i int) bool {
	if o.bits.Test(uint(i)) {
		return false
	}
	o.bits.Set(uint(i))
	o.added = append(o.added, uint32(i))
	return true
}

// Has reports whether the set holds chunk i.
func (o *Own) Has(i int) bool { return o.bits.Test(uint(i)) }

// Len returns the number of chunks in the set.
func (o *Own) Len() int { return len(o.added) }

// Cursor returns the set's current position in its sequence of additions.
func (o *Own) Cursor() agent.Cursor {
	return agent.Cursor{Run: o.run, Sequence: uint64(len(o.added))}
}

// Since returns the chunks added after known, or the whole set if known is empty
// or is not a position of this set.
func (o *Own) Since(known agent.Cursor) agent.Holdings {
	now := uint64(len(o.added))
	h := agent.Holdings{Run: o.run, Sequence: now}
	if known.Run != o.run || known.Sequence == 0 || known.Sequence > now {
		h.Whole = append([]uint64(nil), o.bits.Words()...)
		return h
	}
	h.Base = known.Sequence
	h.Added = append([]uint32(nil), o.added[known.Sequence:]...)
	return h
}

// Remote is the copy of another agent's set.
type Remote struct {
	cursor agent.Cursor
	chunks int
	bits   *bitset.BitSet
}

// NewRemote returns an empty copy for a version of the given number of chunks.
func NewRemote(chunks int) *Remote {
	return &Remote{chunks: chunks, bits: bitset.New(uint(chunks))}
}

// Has reports whether the other agent has announced chunk i.
func (r *Remote) Has(i int) bool { return r.bits.Test(uint(i)) }

// Each calls f with every chunk index in the set, ascending.
func (r *Remote) Each(f func(i int)) {
	for i, ok := r.bits.NextSet(0); ok; i, ok = r.bits.NextSet(i + 1) {
		f(int(i))
	}
}

// Complete reports whether the set holds all chunks.
func (r *Remote) Complete() bool { return int(r.bits.Count()) == r.chunks }

// Cursor returns the position of the other agent's set that the copy reflects.
func (r *Remote) Cursor() agent.Cursor { return r.cursor }

// Apply applies h and returns an error for an index out of range. A delta whose
// base the copy has not reached, or an old one, changes nothing: the unchanged
// cursor then requests the missing chunks again.
func (r *Remote) Apply(h agent.Holdings) error {
	if h.Base == 0 {
		return r.replace(h)
	}
	if h.Run != r.cursor.Run || h.Base > r.cursor.Sequence || h.Sequence < r.cursor.Sequence {
		return nil
	}
	for _, i := range h.Added {
		if int(i) >= r.chunks {
			return fmt.Errorf("chunk index %d of %d", i, r.chunks)
		}
		r.bits.Set(uint(i))
	}
	r.cursor = agent.Cursor{Run: h.Run, Sequence: h.Sequence}
	return nil
}

func (r *Remote) replace(h agent.Holdings) error {
	bits, err := FromWords(h.Whole, r.chunks)
	if err != nil {
		return err
	}
	r.bits = bits
	r.cursor = agent.Cursor{Run: h.Run, Sequence: h.Sequence}
	return nil
}

// FromWords returns the set encoded in words. It returns an error if an index is
// not less than chunks.
func FromWords(words []uint64, chunks int) (*bitset.BitSet, error) {
	given := bitset.From(words)
	if last, ok := lastSet(given); ok && last >= uint(chunks) {
		return nil, fmt.Errorf("chunk index %d of %d", last, chunks)
	}
	set := bitset.New(uint(chunks))
	set.InPlaceUnion(given)
	return set, nil
}

// lastSet returns the highest index in b; false if b is empty.
func lastSet(b *bitset.BitSet) (uint, bool) {
	if b.Len() == 0 {
		return 0, false
	}
	return b.PreviousSet(b.Len() - 1)
}
