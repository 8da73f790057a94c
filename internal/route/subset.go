package route

import (
	"sort"
	"strconv"

	"almondreel.example/almondreel/internal/gateway"
)

// Subset returns the members that the gateway self of gateways uses, without
// any exchange between gateways. Gateways are dealt out in rounds; a round
// shuffles the members its own way and gives each of its gateways a slice, so
// every member has about as many gateways as any other.
func Subset(members []gateway.Member, gateways []string, self string) []gateway.Member {
	index, count := position(gateways, self)
	size := max(minSubset, (len(members)+count-1)/count)
	if len(members) <= size {
		return members
	}
	slices := len(members) / size
	round := "round " + strconv.Itoa(index/slices)
	shuffled := append([]gateway.Member(nil), members...)
	Rank(shuffled, round)
	first := index % slices * size
	if index%slices == slices-1 {
		return shuffled[first:]
	}
	return shuffled[first : first+size]
}

// position returns the rank of self among gateways and their number.
func position(gateways []string, self string) (int, int) {
	names := append([]string(nil), gateways...)
	sort.Strings(names)
	for i, name := range names {
		if name == self {
			return i, len(names)
		}
	}
	return 0, max(1, len(names))
}
