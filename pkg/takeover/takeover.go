// Package takeover distributes work items over members without a coordinator.
//
// Every member ranks all members for an item by rendezvous hashing. Members
// with the same list thus agree, without communication, on which of them does
// the item first and which take over, in which order, if it is not done in time.
package takeover

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Rank returns the members in the order in which they may take item.
func Rank(item string, members []string) []string {
	order := append([]string(nil), members...)
	scores := make(map[string]uint64, len(members))
	for _, m := range members {
		scores[m] = score(item, m)
	}
	sort.Slice(order, func(i, j int) bool { return ranksBefore(scores, order[i], order[j]) })
	return order
}

func ranksBefore(scores map[string]uint64, a, b string) bool {
	if scores[a] != scores[b] {
		return scores[a] > scores[b]
	}
	return a < b
}

// Position returns the index of member in Rank(item, members), or -1 if member
// is not in members.
func Position(item string, members []string, member string) int {
	own, position, found := score(item, member), 0, false
	for _, m := range members {
		if m == member {
			found = true
			continue
		}
		other := score(item, m)
		if other > own || (other == own && m < member) {
			position++
		}
	}
	if !found {
		return -1
	}
	return position
}

// Turn returns the time from which the member at position may take an item that is
// available since availableAt. Members become eligible in order, one step apart.
func Turn(availableAt time.Time, position int, step time.Duration) time.Time {
	return availableAt.Add(time.Duration(position) * step)
}

func score(item, member string) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(member)
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(item)
	return h.Sum64()
}
