// Package chunkstore holds an agent's verified chunks in memory, shared by all
// model versions that list them. A chunk is evicted when no version in the
// store lists it any more.
package chunkstore

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"sync"

	"almondreel.example/almondreel/internal/counter"
	"almondreel.example/almondreel/internal/manifest"
)

// Errors of the store.
var (
	ErrUnwanted   = errors.New("no version in the store lists the chunk")
	ErrIncomplete = errors.New("version is not complete")
)

type version struct {
	manifest manifest.Manifest
	verified bool // Verify succeeded
}

// Store holds versions and their chunks. It is safe for concurrent use. Chunk
// bytes are never changed after Put.
type Store struct {
	mu       sync.RWMutex
	versions map[manifest.Digest]*version
	listed   map[manifest.Digest]bool
	chunks   map[manifest.Digest][]byte
	bytes    int64
}

// New returns an empty store.
func New() *Store {
	return &Store{
		versions: map[manifest.Digest]*version{},
		listed:   map[manifest.Digest]bool{},
		chunks:   map[manifest.Digest][]byte{},
	}
}

// AddVersion adds a version, so that Put accepts the chunks of m until Retain
// drops the version.
func (s *Store) AddVersion(digest manifest.Digest, m manifest.Manifest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.versions[digest] != nil {
		return
	}
	s.versions[digest] = &version{manifest: m}
	for _, c := range m.Chunks {
		s.listed[c.Digest] = true
	}
}

// Retain drops every version that is not in keep, and the chunks that only
// dropped versions list.
func (s *Store) Retain(keep map[manifest.Digest]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	dropped := false
	for d := range s.versions {
		if !keep[d] {
			delete(s.versions, d)
			dropped = true
		}
	}
	if dropped {
		s.evict()
	}
}

func (s *Store) evict() {
	s.listed = map[manifest.Digest]bool{}
	for _, v := range s.versions {
		for _, c := range v.manifest.Chunks {
			s.listed[c.Digest] = true
		}
	}
	for d, data := range s.chunks {
		if !s.listed[d] {
			s.bytes -= int64(len(data))
			delete(s.chunks, d)
		}
	}
	counter.Set("ChunkStoreBytes", s.bytes)
}

// Put verifies data and stores it as chunk c. The caller must not change data
// afterwards. Errors: manifest.ErrMismatch for data that is not the chunk,
// ErrUnwanted for a chunk that no version lists.
func (s *Store) Put(c manifest.Chunk, data []byte) error {
	if err := c.Verify(data); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.listed[c.Digest] {
		return ErrUnwanted
	}
	if s.chunks[c.Digest] == nil {
		s.chunks[c.Digest] = data
		s.bytes += int64(len(data))
	}
	counter.Set("ChunkStoreBytes", s.bytes)
	return nil
}

// Chunk returns the bytes of a chunk, which the caller must not change.
func (s *Store) Chunk(d manifest.Digest) ([]byte, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	data, ok := s.chunks[d]
	return data, ok
}

// Manifest returns the manifest of a version in the store.
func (s *Store) Manifest(d manifest.Digest) (manifest.Manifest, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	v, ok := s.versions[d]
	if !ok {
		return manifest.Manifest{}, false
	}
	return v.manifest, true
}

// Size returns the number of chunks and their total size in bytes.
func (s *Store) Size() (chunks int, bytes int64) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return len(s.chunks), s.bytes
}

// Verify checks all bytes of a version against its manifest. Errors:
// ErrIncomplete for a version that is unknown or lacks chunks,
// manifest.ErrMismatch for a wrong digest.
func (s *Store) Verify(d manifest.Digest) error {
	m, ok := s.Manifest(d)
	if !ok {
		return fmt.Errorf("version %s: %w", d, ErrIncomplete)
	}
	sum := sha256.New()
	if err := s.write(sum, m); err != nil {
		return err
	}
	if got := manifest.Digest("sha256:" + hex.EncodeToString(sum.Sum(nil))); got != m.Whole {
		return fmt.Errorf("bytes of version %s have digest %s, not %s: %w", d, got, m.Whole, manifest.ErrMismatch)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if v := s.versions[d]; v != nil {
		v.verified = true
	}
	return nil
}

// Verified reports whether Verify succeeded for a version that is still in the
// store.
func (s *Store) Verified(d manifest.Digest) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	v, ok := s.versions[d]
	return ok && v.verified
}

// WriteVersion writes all bytes of a verified version to out. It returns
// ErrIncomplete, and writes nothing, if the version is not verified.
func (s *Store) WriteVersion(out io.Writer, d manifest.Digest) error {
	m, ok := s.Manifest(d)
	if !ok || !s.Verified(d) {
		return fmt.Errorf("version %s: %w", d, ErrIncomplete)
	}
	return s.write(out, m)
}

func (s *Store) write(out io.Writer, m manifest.Manifest) error {
	for i, c := range m.Chunks {
		data, ok := s.Chunk(c.Digest)
		if !ok {
			return fmt.Errorf("chunk %d of %s %s: %w", i, m.Model, m.Version, ErrIncomplete)
		}
		if _, err := out.Write(data); err != nil {
			return err
		}
	}
	return nil
}
