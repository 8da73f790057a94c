package haveset_test

import (
	"encoding/binary"
	"testing"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/agent"
	"almondreel.example/almondreel/internal/haveset"
)

// FuzzApply applies arbitrary holdings. It guards against a peer that adds chunk
// indices which the version does not have.
func FuzzApply(f *testing.F) {
	f.Add(10, []byte{255, 3, 0, 0, 0, 0, 0, 0}, []byte{9, 0, 0, 0}, uint64(1), uint64(2), uint64(1))
	f.Add(10, []byte{0, 4, 0, 0, 0, 0, 0, 0}, []byte{10, 0, 0, 0}, uint64(1), uint64(2), uint64(1))
	f.Add(0, []byte{1}, []byte{255, 255, 255, 255}, uint64(0), uint64(0), uint64(0))
	f.Add(70, make([]byte, 64), []byte{}, uint64(9), uint64(1), uint64(3))
	f.Fuzz(func(t *testing.T, chunks int, whole, added []byte, run, sequence, base uint64) {
		if chunks < 0 || chunks > 1<<16 {
			return
		}
		r := haveset.NewRemote(chunks)
		_ = r.Apply(agent.Holdings{Run: run, Sequence: sequence, Whole: words(whole)})
		_ = r.Apply(agent.Holdings{Run: run, Sequence: sequence, Base: base, Added: indices(added)})
		held := 0
		for i := range chunks + 128 {
			if r.Has(i) {
				held++
				require.Less(t, i, chunks)
			}
		}
		require.Equal(t, held == chunks, r.Complete())
	})
}

func words(data []byte) []uint64 {
	var out []uint64
	for ; len(data) >= 8; data = data[8:] {
		out = append(out, binary.LittleEndian.Uint64(data))
	}
	return out
}

func indices(data []byte) []uint32 {
	var out []uint32
	for ; len(data) >= 4; data = data[4:] {
		out = append(out, binary.LittleEndian.Uint32(data))
	}
	return out
}
