package callermemory_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"testing"
	"testing/iotest"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/callermemory"
)

const (
	kilobyte = 1 << 10
	megabyte = 1 << 20
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func notEvicted(t *testing.T) func() {
	return func() { t.Error("the wrong request was evicted") }
}

// Guards against an ordinary request that loses its memory to the clients that hold it:
// the one that has held the most for the longest is evicted.
func TestLargestOldestHolderIsEvicted(t *testing.T) {
	a := callermemory.New(8 * megabyte)
	worst, evicted := 0, false
	holders := make([]*callermemory.Holder, 3)
	for n, size := range []int64{megabyte, 4 * megabyte, 2 * megabyte} {
		evict := notEvicted(t)
		if n == 1 {
			worst, evict = n, func() { evicted = true }
		}
		holders[n] = a.Open(callermemory.Body, start, evict)
		require.Equal(t, callermemory.Granted, holders[n].Reserve(size, start))
	}
	ordinary := a.Open(callermemory.Body, start.Add(500*time.Millisecond), notEvicted(t))
	require.Equal(t, callermemory.Exhausted, ordinary.Reserve(megabyte, start.Add(500*time.Millisecond)), "a request may be received for a second")
	now := start.Add(2 * time.Second)
	require.Equal(t, callermemory.Evicting, ordinary.Reserve(megabyte, now))
	require.True(t, evicted)
	require.Equal(t, callermemory.Evicting, ordinary.Reserve(megabyte, now), "one eviction makes enough room")
	require.False(t, holders[worst].Received())
	require.Equal(t, callermemory.Exhausted, holders[worst].Reserve(5*megabyte, now))
	released := a.Released()
	holders[worst].Release()
	<-released
	require.Equal(t, callermemory.Granted, ordinary.Reserve(megabyte, now))
}

// Guards against the loss of a request that has been received and may have been run.
func TestReceivedRequestIsNotEvicted(t *testing.T) {
	a := callermemory.New(4 * megabyte)
	h := a.Open(callermemory.Body, start, notEvicted(t))
	require.Equal(t, callermemory.Granted, h.Reserve(3*megabyte, start))
	require.True(t, h.Received())
	other := a.Open(callermemory.Body, start, notEvicted(t))
	require.Equal(t, callermemory.Exhausted, other.Reserve(megabyte, start.Add(time.Minute)))
	require.False(t, a.Evict(start.Add(time.Minute)))
	h.Release()
	require.Zero(t, a.Used())
}

// Guards against long requests that leave no memory to short ones.
func TestShortRequestsHaveReserve(t *testing.T) {
	a := callermemory.New(8 * megabyte)
	for range 7 {
		require.Equal(t, callermemory.Granted, a.Open(callermemory.Body, start, notEvicted(t)).Reserve(megabyte, start))
	}
	require.Equal(t, callermemory.Exhausted, a.Open(callermemory.Body, start, notEvicted(t)).Reserve(128*kilobyte, start))
	require.Equal(t, callermemory.Granted, a.Open(callermemory.Body, start, notEvicted(t)).Reserve(kilobyte, start))
}

// Guards against the refusal of a legal request that is alone.
func TestSingleRequestMayUseWholeCapacity(t *testing.T) {
	a := callermemory.New(4 * megabyte)
	h := a.Open(callermemory.Body, start, notEvicted(t))
	require.Equal(t, callermemory.Granted, h.Reserve(4*megabyte, start))
	require.Equal(t, callermemory.Exhausted, h.Reserve(4*megabyte+1, start))
}

func TestReadAllReservesWhatItReads(t *testing.T) {
	text := bytes.Repeat([]byte("body "), 100_000)
	for _, length := range []int64{int64(len(text)), -1} {
		a := callermemory.New(4 * megabyte)
		h := a.Open(callermemory.Body, time.Now(), notEvicted(t))
		body, err := h.ReadAll(t.Context(), iotest.HalfReader(bytes.NewReader(text)), length, megabyte, time.Time{})
		require.NoError(t, err)
		require.Equal(t, text, body)
		require.GreaterOrEqual(t, a.Used(), int64(cap(body)))
		h.Release()
		require.Zero(t, a.Used())
	}
}

// Guards against a body that takes memory which the account does not have.
func TestReadAllStopsWhenMemoryIsExhausted(t *testing.T) {
	a := callermemory.New(megabyte)
	h := a.Open(callermemory.Body, time.Now(), notEvicted(t))
	read := 0
	endless := readerFunc(func(p []byte) (int, error) { read += len(p); return len(p), nil })
	_, err := h.ReadAll(context.Background(), endless, -1, 64*megabyte, time.Time{})
	require.ErrorIs(t, err, callermemory.ErrExhausted)
	require.LessOrEqual(t, read, megabyte)
	_, err = a.Open(callermemory.Body, time.Now(), notEvicted(t)).ReadAll(context.Background(), errorReader, 100, megabyte, time.Time{})
	require.ErrorIs(t, err, errRead)
}

// Guards against the allocation of bodies that callers announce and do not send.
func TestReadAllAllocatesWhatArrives(t *testing.T) {
	a := callermemory.New(megabyte)
	largest := 0
	stalled := readerFunc(func(p []byte) (int, error) { largest = max(largest, len(p)); return 0, errRead })
	_, err := a.Open(callermemory.Body, time.Now(), notEvicted(t)).ReadAll(t.Context(), stalled, 512*kilobyte, megabyte, time.Time{})
	require.ErrorIs(t, err, errRead)
	require.LessOrEqual(t, largest, 4*kilobyte+1)
}

// Guards against a temporary refusal of a body that is too large at any time.
func TestTooLargeBodyFailsForItsLengthWhenMemoryIsExhausted(t *testing.T) {
	a := callermemory.New(megabyte)
	require.Equal(t, callermemory.Granted, a.Open(callermemory.Body, time.Now(), notEvicted(t)).Reserve(800*kilobyte, time.Now()))
	body := io.MultiReader(io.LimitReader(endlessReader, megabyte), errorReader)
	_, err := a.Open(callermemory.Body, time.Now(), notEvicted(t)).ReadAll(t.Context(), body, 8*megabyte, megabyte, time.Time{})
	require.ErrorIs(t, err, errRead)
}

type readerFunc func([]byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

var (
	errRead                 = errors.New("read")
	endlessReader io.Reader = readerFunc(func(p []byte) (int, error) { return len(p), nil })
	errorReader   io.Reader = iotest.ErrReader(errRead)
)
