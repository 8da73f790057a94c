// Package reel brings versions of a model's weights to the engine beside an
// agent and keeps the engine at the version that operators have named.
//
// A version is a list of pieces, each with a digest. Pieces come from the
// origin or from other agents; each is checked when it arrives, staged at the
// engine, and read back and checked once more just before the engine is ordered
// to load, since what lies at an engine can spoil. Which piece comes from where
// and when an engine may change over is decided in package draw.
package reel

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"

	"almondreel.example/almondreel/internal/site"
)

// MaxPieceBytes bounds a piece.
const MaxPieceBytes = 4 << 20

// maxPieces bounds a version's pieces.
const maxPieces = 1 << 16

// Digest is a piece's SHA-256.
type Digest [sha256.Size]byte

// ErrMismatch reports bytes that differ from their digest.
var ErrMismatch = errors.New("bytes do not match their digest")

// Manifest lists a version's pieces.
type Manifest struct {
	Model      string
	Version    int64
	Layers     int
	PieceBytes int
	Digests    []Digest
}

// Check refuses a manifest that cannot be loaded.
func (m Manifest) Check() error {
	if len(m.Digests) == 0 || len(m.Digests) > maxPieces || m.Layers <= 0 || m.PieceBytes <= 0 || m.PieceBytes > MaxPieceBytes {
		return fmt.Errorf("manifest of %s %d: %d pieces of %d bytes, %d layers", m.Model, m.Version, len(m.Digests), m.PieceBytes, m.Layers)
	}
	return nil
}

func (m Manifest) is(model string, version int64) bool {
	return m.Model == model && m.Version == version
}

// Verify reports whether data is the piece.
func (m Manifest) Verify(piece int, data []byte) error {
	if piece < 0 || piece >= len(m.Digests) || sha256.Sum256(data) != m.Digests[piece] {
		return fmt.Errorf("piece %d of %s %d, %d bytes: %w", piece, m.Model, m.Version, len(data), ErrMismatch)
	}
	return nil
}

// Load orders an engine to load all layers of what is staged.
type Load struct {
	Model   string
	Version int64
	Abort   bool // cut off what the engine is answering; else it ends that first
}

// Engine is the engine beside the agent.
type Engine interface {
	Report(ctx context.Context) (site.State, error)
	Load(ctx context.Context, o Load) error
	Stage(ctx context.Context, model string, piece int, data []byte) error
	Staged(ctx context.Context, model string, piece int) ([]byte, error)
	Held(ctx context.Context, model string) ([]int, error)
}

// Origin is where weights come from.
type Origin interface {
	Manifest(ctx context.Context, address, model string, version int64) (Manifest, error)
	Piece(ctx context.Context, address, model string, version int64, piece int) ([]byte, error)
}
