package takeover_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/pkg/takeover"
)

func makeMembers(n int) []string {
	var out []string
	for i := range n {
		out = append(out, fmt.Sprintf("member-%d", i))
	}
	return out
}

func TestPositionAgreesWithRank(t *testing.T) {
	all := makeMembers(9)
	for i := range 50 {
		item := fmt.Sprint(i)
		for position, m := range takeover.Rank(item, all) {
			require.Equal(t, position, takeover.Position(item, all, m))
		}
	}
	require.Equal(t, -1, takeover.Position("0", all, "stranger"))
}

func TestRemovedMemberMovesOnlyItsItems(t *testing.T) {
	all := makeMembers(10)
	remaining := slices.DeleteFunc(slices.Clone(all), func(m string) bool { return m == "member-3" })
	for i := range 200 {
		item := fmt.Sprint(i)
		before := takeover.Rank(item, all)
		after := takeover.Rank(item, remaining)
		if before[0] != "member-3" {
			require.Equal(t, before[0], after[0])
			continue
		}
		require.Equal(t, before[1], after[0])
	}
}

func ExampleTurn() {
	availableAt := time.Unix(0, 0).UTC()
	order := takeover.Rank("chunk 7", []string{"a", "b", "c"})
	for i := range order {
		fmt.Println(takeover.Turn(availableAt, i, time.Second).Format("15:04:05"))
	}
	// Output:
	// 00:00:00
	// 00:00:01
	// 00:00:02
}
