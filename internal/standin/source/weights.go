package source

import (
	"encoding/binary"
	"errors"
	"io"
	"math/rand/v2"
)

// Version describes weights that are generated on demand and never held in memory
// as a whole.
type Version struct {
	Bytes       int64
	Seed        uint64
	ChunkBytes  int64  // chunk size of the manifest; 0 means 1 MiB
	SharedBytes int64  // leading bytes that are generated from SharedSeed
	SharedSeed  uint64 // versions with equal SharedSeed have these leading bytes in common
}

const (
	blockBytes        = 4096 // bytes generated from one generator state
	wordBytes         = 8
	defaultChunkBytes = 1 << 20
)

// weightsReader generates the bytes of a version from any offset.
type weightsReader struct {
	version    Version
	offset     int64
	block      [blockBytes]byte
	blockIndex int64 // index of the generated block; -1: none
}

// NewReader returns a reader over the version's bytes.
func NewReader(v Version) io.ReadSeeker {
	return &weightsReader{version: v, blockIndex: -1}
}

// Read fills p from the current offset.
func (w *weightsReader) Read(p []byte) (int, error) {
	if w.offset >= w.version.Bytes {
		return 0, io.EOF
	}
	if remaining := w.version.Bytes - w.offset; int64(len(p)) > remaining {
		p = p[:remaining]
	}
	done := 0
	for done < len(p) {
		index := w.offset / blockBytes
		w.loadBlock(index)
		start := w.offset - index*blockBytes
		n := copy(p[done:], w.block[start:w.blockEnd(index)])
		done += n
		w.offset += int64(n)
	}
	return done, nil
}

// blockEnd returns the end of the bytes of the block at index that come from the
// same seed as the current offset. A block that contains the end of the shared
// prefix is read in two steps.
func (w *weightsReader) blockEnd(index int64) int64 {
	boundary := w.version.SharedBytes - index*blockBytes
	if w.offset < w.version.SharedBytes && boundary < blockBytes {
		return boundary
	}
	return blockBytes
}

func (w *weightsReader) loadBlock(index int64) {
	seed, stream := w.version.Seed, uint64(index)
	if w.offset < w.version.SharedBytes {
		seed = w.version.SharedSeed
	} else if w.version.SharedBytes > index*blockBytes {
		w.blockIndex = -1
	}
	if w.blockIndex == index {
		return
	}
	generator := rand.NewPCG(seed, stream)
	for i := 0; i < blockBytes; i += wordBytes {
		binary.LittleEndian.PutUint64(w.block[i:], generator.Uint64())
	}
	w.blockIndex = index
}

// Seek sets the offset of the next Read.
func (w *weightsReader) Seek(offset int64, whence int) (int64, error) {
	switch whence {
	case io.SeekStart:
	case io.SeekCurrent:
		offset += w.offset
	case io.SeekEnd:
		offset += w.version.Bytes
	}
	if offset < 0 {
		return 0, errors.New("seek before the start of the weights")
	}
	w.offset = offset
	w.blockIndex = -1
	return offset, nil
}
