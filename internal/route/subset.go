package route

import (
	"sort"
	"strconv"

	"almondreel.example/almondreel/internal/gateway"
)

// Subset returns the members that the gateway self uses (deterministic
// subsetting). The result depends on the arguments alone, so gateways need no
// coordination. The sorted gateways are divided into rounds. Each round shuffles
// the members in its own way and gives each of its gateways a different slice,
// so all members are used by about the same number of gateways.
func Subset(members []gateway.Member, gateways []string, self string) []gateway.Member {
	index, count := position(gateways, self)
	size := max(minSubset, (len(members)+count-1)/count)
	if len(members) <= size {
		return members
	}
	sliceCount := len(members) / size
	round := "round " + strconv.Itoa(index/sliceCount)
	shuffled := append([]gateway.Member(nil), members...)
	Rank(shuffled, round)
	start := index % sliceCount * size
	if index%sliceCount == sliceCount-1 {
		return shuffled[start:]
	}
	return shuffled[start : start+size]
}

// position returns the index of self among the sorted gateways and the number of
// gateways. If self is not listed the index is 0.
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
