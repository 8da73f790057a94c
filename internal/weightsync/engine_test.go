package weightsync_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"almondreel.example/almondreel/internal/site"
	"almondreel.example/almondreel/internal/weightsync"
)

const (
	callTimeout = 50 * time.Millisecond // of calls to a silentEngine
	warmUp      = 200 * time.Millisecond
)

var errNoAnswer = errors.New("engine did not answer")

// silentEngine is a model engine that takes the staged pieces when it accepts an order,
// and that can fall silent. It accepts an order that was sent while it was silent when the
// silence ends.
type silentEngine struct {
	mu          sync.Mutex
	born        int64
	orders      int64
	staged      map[int][]byte
	version     int64
	spoilt      bool // the loaded weights have a piece that was corrupt or of another version
	loadingTo   int64
	loadedAt    time.Time // end of the load in progress
	silentUntil time.Time
	onOrder     func(weightsync.Load) // called before an order reaches the engine; nil: nothing
	spoiltLoads int
}

func newSilentEngine(served int64) *silentEngine {
	e := &silentEngine{born: 1, staged: map[int][]byte{}, version: served}
	for n := range pieces {
		if served > 0 {
			e.staged[n] = pieceData(served, n)
		}
	}
	return e
}

// awake waits for the end of a silence, for callTimeout at most. Callers hold mu if it
// returns nil, and don't otherwise.
func (e *silentEngine) awake(ctx context.Context) error {
	deadline := time.Now().Add(callTimeout)
	for {
		e.mu.Lock()
		if !time.Now().Before(e.silentUntil) {
			e.settle()
			return nil
		}
		e.mu.Unlock()
		if time.Now().After(deadline) || ctx.Err() != nil {
			return errNoAnswer
		}
		time.Sleep(time.Millisecond)
	}
}

// settle ends a load whose time has come. Callers hold mu.
func (e *silentEngine) settle() {
	if e.loadingTo != 0 && !time.Now().Before(e.loadedAt) {
		e.version, e.loadingTo = e.loadingTo, 0
	}
}

func (e *silentEngine) Report(ctx context.Context) (site.EngineState, error) {
	if err := e.awake(ctx); err != nil {
		return site.EngineState{}, err
	}
	defer e.mu.Unlock()
	s := site.EngineState{Born: e.born, Model: model, Orders: e.orders, Loading: e.loadingTo != 0}
	if e.version > 0 {
		s.Loaded = site.LayerRange{To: layers, Version: e.version}
	}
	return s, nil
}

func (e *silentEngine) Load(ctx context.Context, o weightsync.Load) error {
	if e.onOrder != nil {
		e.onOrder(o)
	}
	if err := e.awake(ctx); err != nil {
		go e.acceptLater(o)
		return err
	}
	defer e.mu.Unlock()
	return e.accept(o)
}

// acceptLater accepts an order when the silence ends.
func (e *silentEngine) acceptLater(o weightsync.Load) {
	for e.awake(context.Background()) != nil {
	}
	defer e.mu.Unlock()
	_ = e.accept(o) // nobody is there to hear of a refusal
}

// accept begins to load what is staged. Callers hold mu.
func (e *silentEngine) accept(o weightsync.Load) error {
	if o.Accepted != e.orders {
		return fmt.Errorf("%d orders accepted: %w", e.orders, weightsync.ErrOrderRefused)
	}
	if e.loadingTo == o.Version || e.loadingTo == 0 && e.version == o.Version {
		return nil // in progress, or in effect
	}
	if e.loadingTo != 0 {
		return fmt.Errorf("busy: %w", weightsync.ErrOrderRefused)
	}
	e.orders++
	e.loadingTo, e.loadedAt, e.version, e.spoilt = o.Version, time.Now().Add(warmUp), 0, false
	for n := range pieces {
		e.spoilt = e.spoilt || string(e.staged[n]) != string(pieceData(o.Version, n))
	}
	if e.spoilt {
		e.spoiltLoads++
	}
	return nil
}

func (e *silentEngine) Unload(ctx context.Context, o weightsync.Unload) error {
	if err := e.awake(ctx); err != nil {
		return err
	}
	defer e.mu.Unlock()
	if o.Accepted != e.orders || e.loadingTo != 0 {
		return fmt.Errorf("busy or %d orders accepted: %w", e.orders, weightsync.ErrOrderRefused)
	}
	e.orders++
	e.version, e.spoilt = 0, false
	return nil
}

func (e *silentEngine) Stage(ctx context.Context, _ string, n int, data []byte) error {
	if err := e.awake(ctx); err != nil {
		return err
	}
	defer e.mu.Unlock()
	e.staged[n] = data
	return nil
}

func (e *silentEngine) Staged(ctx context.Context, _ string, n int) ([]byte, error) {
	if err := e.awake(ctx); err != nil {
		return nil, err
	}
	defer e.mu.Unlock()
	data, ok := e.staged[n]
	if !ok {
		return nil, errors.New("not staged")
	}
	return data, nil
}

func (e *silentEngine) ListStaged(ctx context.Context, _ string) ([]int, error) {
	if err := e.awake(ctx); err != nil {
		return nil, err
	}
	defer e.mu.Unlock()
	var held []int
	for n := range e.staged {
		held = append(held, n)
	}
	return held, nil
}

// corrupt turns a staged piece corrupt.
func (e *silentEngine) corrupt(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.staged[n] = []byte("corrupt")
}

// silence keeps the engine silent for a time from now on.
func (e *silentEngine) silence(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.silentUntil = time.Now().Add(d)
}

// serves returns the version that the engine serves, and whether its weights are spoilt.
func (e *silentEngine) serves() (version int64, spoilt bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.settle()
	return e.version, e.version != 0 && e.spoilt
}
