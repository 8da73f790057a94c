package rank_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/rank"
)

func TestFirstKeepsOrderWhenANameLeaves(t *testing.T) {
	var names []string
	for i := range 20 {
		names = append(names, fmt.Sprintf("gateway-%d", i))
	}
	all := rank.First("key", names, len(names))
	require.ElementsMatch(t, names, all)
	gone := all[3]
	var rest []string
	for _, name := range names {
		if name != gone {
			rest = append(rest, name)
		}
	}
	require.Equal(t, append(append([]string{}, all[:3]...), all[4:]...), rank.First("key", rest, len(rest)))
	require.True(t, rank.Among("key", all[0], names, 1))
	require.False(t, rank.Among("key", all[1], names, 1))
	require.Empty(t, rank.First("key", nil, 3))
}
