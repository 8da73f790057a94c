package process_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/process"
)

func TestReservedPortsAreApart(t *testing.T) {
	taken := map[string]bool{}
	for range 5 {
		p, err := process.Reserve(100)
		require.NoError(t, err)
		defer p.Release()
		for range 100 {
			address := p.Take()
			require.False(t, taken[address], address)
			taken[address] = true
		}
	}
}
