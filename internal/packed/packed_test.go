package packed_test

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/packed"
)

func TestUnpackReturnsWhatWasPacked(t *testing.T) {
	for _, text := range [][]byte{[]byte("{}"), bytes.Repeat([]byte("instance-1,"), 5000), nil} {
		got, err := packed.Unpack(packed.Pack(text))
		require.NoError(t, err)
		require.True(t, bytes.Equal(text, got))
	}
	plain, err := packed.Text([]byte("{}"))
	require.NoError(t, err)
	require.Equal(t, "{}", string(plain))
	_, err = packed.Unpack([]byte("{}"))
	require.Error(t, err)
}

func TestUnpackIsBounded(t *testing.T) {
	_, err := packed.Unpack(packed.Pack(make([]byte, packed.MaxBytes+1)))
	require.ErrorContains(t, err, "more than")
	cut := packed.Pack([]byte("{}"))
	_, err = packed.Unpack(cut[:len(cut)-4])
	require.Error(t, err)
}

func FuzzUnpack(f *testing.F) {
	f.Add(packed.Pack([]byte("{}")))
	f.Add([]byte{0x1f, 0x8b, 8})
	f.Fuzz(func(t *testing.T, data []byte) {
		text, err := packed.Unpack(data)
		if err == nil && len(text) > packed.MaxBytes {
			t.Fatalf("%d bytes came out of %d", len(text), len(data))
		}
	})
}
