package compress_test

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/compress"
)

func TestGunzipReversesGzip(t *testing.T) {
	for _, text := range [][]byte{[]byte("{}"), bytes.Repeat([]byte("instance-1,"), 5000), nil} {
		got, err := compress.Gunzip(compress.Gzip(text))
		require.NoError(t, err)
		require.True(t, bytes.Equal(text, got))
	}
	plain, err := compress.GunzipIfCompressed([]byte("{}"))
	require.NoError(t, err)
	require.Equal(t, "{}", string(plain))
	_, err = compress.Gunzip([]byte("{}"))
	require.Error(t, err)
}

func TestGunzipRejectsOversizedAndTruncatedData(t *testing.T) {
	_, err := compress.Gunzip(compress.Gzip(make([]byte, compress.MaxBytes+1)))
	require.ErrorContains(t, err, "more than")
	truncated := compress.Gzip([]byte("{}"))
	_, err = compress.Gunzip(truncated[:len(truncated)-4])
	require.Error(t, err)
}

func FuzzGunzip(f *testing.F) {
	f.Add(compress.Gzip([]byte("{}")))
	f.Add([]byte{0x1f, 0x8b, 8})
	f.Fuzz(func(t *testing.T, data []byte) {
		text, err := compress.Gunzip(data)
		if err == nil && len(text) > compress.MaxBytes {
			t.Fatalf("Gunzip returned %d bytes, more than MaxBytes, from %d bytes", len(text), len(data))
		}
	})
}
