package process_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/process"
)

func TestReservedPortsDoNotOverlap(t *testing.T) {
	seen := map[string]bool{}
	for range 5 {
		p, err := process.Reserve(100)
		require.NoError(t, err)
		defer p.Release()
		for range 100 {
			address := p.Next()
			require.False(t, seen[address], address)
			seen[address] = true
		}
	}
}
