// Package weightsync keeps the model weights of an agent's engine on a hosting
// platform at the version that operators announced. It fetches the version's
// pieces, stages them at the engine, orders the load, verifies what was loaded, and
// serves pieces to other agents. On the operators' own instances packages transfer and replica do so.
//
// A version is a list of pieces, each with a digest. Pieces come from the
// origin or from other agents. Each is verified on arrival, staged at the
// engine, and read back and verified again just before the load order and after the
// engine has accepted it, since staged pieces can become corrupt. Package piecesched decides which piece to
// fetch from where, and when an engine may switch versions.
package weightsync

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"

	"almondreel.example/almondreel/internal/site"
)

// MaxPieceBytes bounds the size of a piece.
const MaxPieceBytes = 4 << 20

// maxPieces bounds the number of pieces of a version.
const maxPieces = 1 << 16

// Digest is the SHA-256 digest of a piece.
type Digest [sha256.Size]byte

// ErrMismatch reports bytes that differ from their digest.
var ErrMismatch = errors.New("bytes do not match their digest")

// Manifest lists the digests of a version's pieces in order. PieceBytes is the
// size of a piece.
type Manifest struct {
	Model      string
	Version    int64
	Layers     int
	PieceBytes int
	Digests    []Digest
}

// Check returns an error if the manifest has no pieces, or a size that is out
// of bounds.
func (m Manifest) Check() error {
	if len(m.Digests) == 0 || len(m.Digests) > maxPieces || m.Layers <= 0 || m.PieceBytes <= 0 || m.PieceBytes > MaxPieceBytes {
		return fmt.Errorf("manifest of %s %d is out of bounds: %d pieces of %d bytes, %d layers", m.Model, m.Version, len(m.Digests), m.PieceBytes, m.Layers)
	}
	return nil
}

func (m Manifest) isVersion(model string, version int64) bool {
	return m.Model == model && m.Version == version
}

// Verify returns an error that wraps ErrMismatch unless data is the given
// piece.
func (m Manifest) Verify(piece int, data []byte) error {
	if piece < 0 || piece >= len(m.Digests) || sha256.Sum256(data) != m.Digests[piece] {
		return fmt.Errorf("piece %d of %s %d, %d bytes: %w", piece, m.Model, m.Version, len(data), ErrMismatch)
	}
	return nil
}

// Load is an order to load all layers of the staged version.
type Load struct {
	Model    string
	Version  int64
	Abort    bool  // cut off answers in progress; otherwise the engine ends them first
	Accepted int64 // orders accepted before, by the engine's state; it refuses if it has accepted another one since
}

// Unload is an order to unload all layers, which cuts off answers in progress.
type Unload struct {
	Model    string
	Version  int64
	Accepted int64 // as in Load
}

// ErrOrderRefused reports that the engine answered an order and will not carry it out.
// After any other error it may still do so.
var ErrOrderRefused = errors.New("load order was refused")

// Engine is a client of the agent's engine. Report reads the engine's state. Load and
// Unload order the engine; their errors wrap ErrOrderRefused if the engine refused. Stage
// writes a piece to the engine's staging area, Staged reads one back, and ListStaged lists
// the staged pieces of a model.
type Engine interface {
	Report(ctx context.Context) (site.EngineState, error)
	Load(ctx context.Context, o Load) error
	Unload(ctx context.Context, o Unload) error
	Stage(ctx context.Context, model string, piece int, data []byte) error
	Staged(ctx context.Context, model string, piece int) ([]byte, error)
	ListStaged(ctx context.Context, model string) ([]int, error)
}

// Origin is a client of the origin of weights. Callers verify the pieces that
// it returns.
type Origin interface {
	Manifest(ctx context.Context, address, model string, version int64) (Manifest, error)
	Piece(ctx context.Context, address, model string, version int64, piece int) ([]byte, error)
}
