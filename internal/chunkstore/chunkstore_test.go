package chunkstore_test

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/chunkstore"
	"almondreel.example/almondreel/internal/manifest"
)

func build(t *testing.T, version, text string) manifest.Manifest {
	t.Helper()
	m, err := manifest.Build("model", version, bytes.NewReader([]byte(text)), 4)
	require.NoError(t, err)
	return m
}

func fill(t *testing.T, s *chunkstore.Store, m manifest.Manifest, text string) {
	t.Helper()
	for _, c := range m.Chunks {
		require.NoError(t, s.Put(c, []byte(text[c.Offset:c.Offset+c.Bytes])))
	}
}

func TestVersionsShareChunksUntilNoneListsThem(t *testing.T) {
	s := chunkstore.New()
	const first, second = "aaaabbbb", "aaaacccc"
	m, n := build(t, "1", first), build(t, "2", second)
	s.AddVersion(m.Digest(), m)
	s.AddVersion(n.Digest(), n)
	fill(t, s, m, first)
	fill(t, s, n, second)
	chunks, held := s.Size()
	require.Equal(t, 3, chunks)
	require.Equal(t, int64(12), held)
	s.Retain(map[manifest.Digest]bool{n.Digest(): true})
	chunks, held = s.Size()
	require.Equal(t, 2, chunks)
	require.Equal(t, int64(8), held)
	require.NoError(t, s.Verify(n.Digest()))
	require.ErrorIs(t, s.Verify(m.Digest()), chunkstore.ErrIncomplete)
	s.Retain(nil)
	chunks, _ = s.Size()
	require.Zero(t, chunks)
}

func TestPutRejectsUnlistedAndMismatchedChunks(t *testing.T) {
	s := chunkstore.New()
	m := build(t, "1", "aaaabbbb")
	require.ErrorIs(t, s.Put(m.Chunks[0], []byte("aaaa")), chunkstore.ErrUnwanted)
	s.AddVersion(m.Digest(), m)
	for _, text := range []string{"", "aaa", "aaaaa", "aaab"} {
		require.ErrorIs(t, s.Put(m.Chunks[0], []byte(text)), manifest.ErrMismatch)
	}
}

func TestOnlyVerifiedVersionsAreWritten(t *testing.T) {
	s := chunkstore.New()
	const text = "aaaabbbb"
	m := build(t, "1", text)
	s.AddVersion(m.Digest(), m)
	fill(t, s, m, text)
	var out bytes.Buffer
	require.ErrorIs(t, s.WriteVersion(&out, m.Digest()), chunkstore.ErrIncomplete)
	require.Zero(t, out.Len())
	require.NoError(t, s.Verify(m.Digest()))
	require.NoError(t, s.WriteVersion(&out, m.Digest()))
	require.Equal(t, text, out.String())
}

// corruptingWriter changes a byte of a stored chunk before or after it passes on the
// write that contains the chunk's first byte.
type corruptingWriter struct {
	bytes.Buffer
	chunk []byte
	early bool
}

func (c *corruptingWriter) Write(p []byte) (int, error) {
	containsChunk := len(p) > 0 && &p[0] == &c.chunk[0]
	if containsChunk && c.early {
		c.chunk[1] ^= 0xff
	}
	n, err := c.Buffer.Write(p)
	if containsChunk && !c.early {
		c.chunk[1] ^= 0xff
	}
	return n, err
}

// A chunk turned corrupt while its version was written: all bytes were written.
func TestChunkThatTurnsCorruptInMidWriteIsNotWrittenWhole(t *testing.T) {
	const text = "aaaabbbbcccc"
	for i := range 3 {
		for _, early := range []bool{true, false} {
			s, m := chunkstore.New(), build(t, "1", text)
			s.AddVersion(m.Digest(), m)
			fill(t, s, m, text)
			require.NoError(t, s.Verify(m.Digest()))
			chunk, _ := s.Chunk(m.Chunks[i].Digest)
			out := &corruptingWriter{chunk: chunk, early: early}
			require.ErrorIs(t, s.WriteVersion(out, m.Digest()), chunkstore.ErrCorrupt)
			require.Less(t, out.Len(), 4*(i+1))

			require.True(t, s.Corrupt(m.Digest()))
			require.False(t, s.Verified(m.Digest()))
			chunks, held := s.Size()
			require.Equal(t, 2, chunks)
			require.Equal(t, int64(8), held)
			require.ErrorIs(t, s.Verify(m.Digest()), chunkstore.ErrIncomplete)
			require.NoError(t, s.Put(m.Chunks[i], []byte(text[4*i:4*i+4])))
			require.NoError(t, s.Verify(m.Digest()))
			require.False(t, s.Corrupt(m.Digest()))
			written := bytes.Buffer{}
			require.NoError(t, s.WriteVersion(&written, m.Digest()))
			require.Equal(t, text, written.String())
		}
	}
}

// A chunk turned corrupt before the version was verified: the manifest was taken for one
// that contradicts itself.
func TestVerifyDropsChunkThatTurnedCorrupt(t *testing.T) {
	const text = "aaaabbbb"
	s, m := chunkstore.New(), build(t, "1", text)
	s.AddVersion(m.Digest(), m)
	fill(t, s, m, text)
	chunk, _ := s.Chunk(m.Chunks[1].Digest)
	chunk[0] ^= 0xff
	err := s.Verify(m.Digest())
	require.ErrorIs(t, err, chunkstore.ErrCorrupt)
	require.NotErrorIs(t, err, manifest.ErrMismatch)
	require.True(t, s.Corrupt(m.Digest()))
	require.NoError(t, s.Put(m.Chunks[1], []byte(text[4:])))
	require.NoError(t, s.Verify(m.Digest()))
}
