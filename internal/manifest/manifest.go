// Package manifest describes a model version as a list of chunks with digests.
//
// A version is identified by the digest of its manifest, so two different sets
// of weights never have the same identity, whatever name they were published
// under.
package manifest

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// Digest is a SHA-256 digest, written as "sha256:" and 64 hexadecimal digits.
type Digest string

// Chunk is a contiguous range of the weights.
type Chunk struct {
	Digest Digest `json:"Digest"`
	Offset int64  `json:"Offset"` // bytes from the start of the weights
	Bytes  int64  `json:"Bytes"`
}

// Manifest is a model version's list of chunks, in order and without gaps.
type Manifest struct {
	Model   string  `json:"Model"`
	Version string  `json:"Version"`
	Bytes   int64   `json:"Bytes"`
	Whole   Digest  `json:"Whole"` // digest of all bytes of the weights
	Chunks  []Chunk `json:"Chunks"`
}

// MaxChunkBytes bounds the size of a chunk.
const MaxChunkBytes = 64 << 20

// ErrMismatch reports data that differs from its digest or length.
var ErrMismatch = errors.New("bytes do not match their digest")

// Sum returns the digest of data.
func Sum(data []byte) Digest {
	sum := sha256.Sum256(data)
	return Digest("sha256:" + hex.EncodeToString(sum[:]))
}

// Build reads weights to the end and returns their manifest, with chunks of
// chunkBytes bytes. The last chunk may be shorter.
func Build(model, version string, weights io.Reader, chunkBytes int64) (Manifest, error) {
	m := Manifest{Model: model, Version: version}
	whole := sha256.New()
	buffer := make([]byte, chunkBytes)
	for {
		n, err := io.ReadFull(weights, buffer)
		if n > 0 {
			_, _ = whole.Write(buffer[:n])
			m.Chunks = append(m.Chunks, Chunk{Digest: Sum(buffer[:n]), Offset: m.Bytes, Bytes: int64(n)})
			m.Bytes += int64(n)
		}
		if err == io.EOF || err == io.ErrUnexpectedEOF {
			break
		}
		if err != nil {
			return Manifest{}, err
		}
	}
	m.Whole = Digest("sha256:" + hex.EncodeToString(whole.Sum(nil)))
	return m, m.Check()
}

// Encode returns the manifest's canonical JSON, over which Digest is taken.
func (m Manifest) Encode() []byte {
	text, err := json.Marshal(m)
	if err != nil {
		panic(err)
	}
	return text
}

// Digest returns the digest of the encoded manifest, which identifies the
// version.
func (m Manifest) Digest() Digest { return Sum(m.Encode()) }

// Check returns an error if there are no chunks, or if they overlap, leave gaps
// or have a size out of bounds.
func (m Manifest) Check() error {
	if len(m.Chunks) == 0 {
		return fmt.Errorf("manifest of %s %s lists no chunks", m.Model, m.Version)
	}
	var offset int64
	for i, c := range m.Chunks {
		if c.Offset != offset || c.Bytes <= 0 || c.Bytes > MaxChunkBytes {
			return fmt.Errorf("manifest of %s %s: chunk %d has offset %d and %d bytes", m.Model, m.Version, i, c.Offset, c.Bytes)
		}
		offset += c.Bytes
	}
	if offset != m.Bytes {
		return fmt.Errorf("manifest of %s %s: chunks sum to %d bytes, not %d", m.Model, m.Version, offset, m.Bytes)
	}
	return nil
}

// Decode parses an encoded manifest and checks it. It returns ErrMismatch if
// the manifest's digest is not want.
func Decode(text []byte, want Digest) (Manifest, error) {
	var m Manifest
	if err := json.Unmarshal(text, &m); err != nil {
		return Manifest{}, fmt.Errorf("parse manifest: %w", err)
	}
	if got := m.Digest(); got != want {
		return Manifest{}, fmt.Errorf("manifest has digest %s, not %s: %w", got, want, ErrMismatch)
	}
	return m, m.Check()
}

// Verify returns ErrMismatch unless data is the content of chunk c.
func (c Chunk) Verify(data []byte) error {
	if int64(len(data)) != c.Bytes || Sum(data) != c.Digest {
		return fmt.Errorf("chunk at offset %d: %w", c.Offset, ErrMismatch)
	}
	return nil
}
