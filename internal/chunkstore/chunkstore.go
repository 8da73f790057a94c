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
	"slices"
	"sync"

	"almondreel.example/almondreel/internal/counter"
	"almondreel.example/almondreel/internal/manifest"
)

// Errors of the store.
var (
	ErrUnwanted   = errors.New("no version in the store lists the chunk")
	ErrIncomplete = errors.New("version is not complete")
	ErrCorrupt    = errors.New("stored chunk has turned corrupt")
)

type version struct {
	manifest manifest.Manifest
	verified bool // Verify succeeded, and no chunk was found corrupt since
	corrupt  bool // a chunk was found corrupt since Verify last succeeded
}

// Store holds versions and their chunks. It is safe for concurrent use. Chunk
// bytes are never changed after Put; a chunk that turned corrupt in memory all the
// same is dropped when Verify or WriteVersion finds it, and can be Put again.
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
// ErrIncomplete for a version that is unknown or lacks chunks, ErrCorrupt if chunks
// turned corrupt since Put, manifest.ErrMismatch for a wrong digest of intact chunks.
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
		if err := s.dropCorrupt(m); err != nil {
			return err
		}
		return fmt.Errorf("bytes of version %s have digest %s, not %s: %w", d, got, m.Whole, manifest.ErrMismatch)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if v := s.versions[d]; v != nil {
		v.verified, v.corrupt = true, false
	}
	return nil
}

// dropCorrupt drops the corrupt chunks of m. It returns ErrCorrupt if there are any.
func (s *Store) dropCorrupt(m manifest.Manifest) error {
	var corrupt error
	for _, c := range m.Chunks {
		data, ok := s.Chunk(c.Digest)
		if ok && c.Verify(data) != nil {
			corrupt = s.drop(c, data)
		}
	}
	return corrupt
}

// drop removes the bytes data of chunk c, unless others replaced them, and returns
// ErrCorrupt. The versions that list the chunk are no longer verified.
func (s *Store) drop(c manifest.Chunk, data []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	stored := s.chunks[c.Digest]
	if len(stored) > 0 && &stored[0] == &data[0] {
		delete(s.chunks, c.Digest)
		s.bytes -= int64(len(data))
		counter.Set("ChunkStoreBytes", s.bytes)
		counter.Add("StoredChunksCorrupt", 1)
		for _, v := range s.versions {
			if v.lists(c.Digest) {
				v.verified, v.corrupt = false, true
			}
		}
	}
	return fmt.Errorf("chunk at offset %d: %w", c.Offset, ErrCorrupt)
}

func (v *version) lists(d manifest.Digest) bool {
	return slices.ContainsFunc(v.manifest.Chunks, func(c manifest.Chunk) bool { return c.Digest == d })
}

// Verified reports whether Verify succeeded for a version that is still in the
// store.
func (s *Store) Verified(d manifest.Digest) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	v, ok := s.versions[d]
	return ok && v.verified
}

// Corrupt reports whether a chunk of a version was found corrupt, and dropped, since
// the version was last verified.
func (s *Store) Corrupt(d manifest.Digest) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	v, ok := s.versions[d]
	return ok && v.corrupt
}

// WriteVersion writes all bytes of a verified version to out. It returns
// ErrIncomplete, and writes nothing, if the version is not verified. It returns
// ErrCorrupt, and leaves bytes out, if a chunk has turned corrupt.
func (s *Store) WriteVersion(out io.Writer, d manifest.Digest) error {
	m, ok := s.Manifest(d)
	if !ok || !s.Verified(d) {
		return fmt.Errorf("version %s: %w", d, ErrIncomplete)
	}
	for i, c := range m.Chunks {
		data, ok := s.Chunk(c.Digest)
		if !ok {
			return missingChunk(i, m)
		}
		if err := s.writeChunk(out, c, data); err != nil {
			return err
		}
	}
	return nil
}

// writeChunk writes data, the bytes of chunk c, and verifies them before it writes the
// last one. Bytes turn corrupt but never intact, so what is intact after it was written
// was written intact.
func (s *Store) writeChunk(out io.Writer, c manifest.Chunk, data []byte) error {
	rest, last := data[:len(data)-1], data[len(data)-1]
	if _, err := out.Write(rest); err != nil {
		return err
	}
	if c.Verify(data) != nil {
		return s.drop(c, data)
	}
	_, err := out.Write([]byte{last})
	return err
}

func missingChunk(i int, m manifest.Manifest) error {
	return fmt.Errorf("chunk %d of %s %s: %w", i, m.Model, m.Version, ErrIncomplete)
}

func (s *Store) write(out io.Writer, m manifest.Manifest) error {
	for i, c := range m.Chunks {
		data, ok := s.Chunk(c.Digest)
		if !ok {
			return missingChunk(i, m)
		}
		if _, err := out.Write(data); err != nil {
			return err
		}
	}
	return nil
}
