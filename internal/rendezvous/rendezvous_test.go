package rendezvous_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/rendezvous"
)

func TestOrderIsStableWhenANameIsRemoved(t *testing.T) {
	var names []string
	for i := range 20 {
		names = append(names, fmt.Sprintf("gateway-%d", i))
	}
	all := rendezvous.Top("key", names, len(names))
	require.ElementsMatch(t, names, all)
	removed := all[3]
	var remaining []string
	for _, name := range names {
		if name != removed {
			remaining = append(remaining, name)
		}
	}
	require.Equal(t, append(append([]string{}, all[:3]...), all[4:]...), rendezvous.Top("key", remaining, len(remaining)))
	require.True(t, rendezvous.InTop("key", all[0], names, 1))
	require.False(t, rendezvous.InTop("key", all[1], names, 1))
	require.Empty(t, rendezvous.Top("key", nil, 3))
}
