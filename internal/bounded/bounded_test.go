package bounded_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"runtime"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/bounded"
)

// endlessReader is a response without an end. It counts the bytes read.
type endlessReader struct{ read int64 }

func (e *endlessReader) Read(p []byte) (int, error) {
	for n := range p {
		p[n] = 'x'
	}
	e.read += int64(len(p))
	return len(p), nil
}

func contents(t *testing.T, body bounded.Body) []byte {
	t.Helper()
	var out bytes.Buffer
	n, err := body.WriteTo(&out)
	require.NoError(t, err)
	require.EqualValues(t, out.Len(), n)
	return out.Bytes()
}

// Guards against returning part of a response that is too long or interrupted, and
// against reading a response without an end.
func TestReadReturnsTheWholeBodyOrAnError(t *testing.T) {
	for name, read := range map[string]func(io.Reader, int64) ([]byte, error){
		"alone": bounded.ReadAll,
		"together": func(r io.Reader, maxBytes int64) ([]byte, error) {
			body, err := bounded.NewMemoryBudget(1<<20).NewReservation().ReadAll(r, maxBytes)
			return contents(t, body), err
		},
		"reader": func(r io.Reader, maxBytes int64) ([]byte, error) { return io.ReadAll(bounded.Reader(r, maxBytes)) },
	} {
		t.Run(name, func(t *testing.T) {
			for _, size := range []int{0, 1, 4095, 4096, 4097, 9999, 10000} {
				text := strings.Repeat("y", size)
				data, err := read(iotest.HalfReader(strings.NewReader(text)), 10000)
				require.NoError(t, err)
				require.Equal(t, text, string(data))
			}
			_, err := read(strings.NewReader(strings.Repeat("y", 10001)), 10000)
			require.ErrorIs(t, err, bounded.ErrTooLong)
			e := &endlessReader{}
			_, err = read(e, 10000)
			require.ErrorIs(t, err, bounded.ErrTooLong)
			require.LessOrEqual(t, e.read, int64(32<<10), "reading stops soon after the limit")
			broken := errors.New("reset")
			_, err = read(io.MultiReader(strings.NewReader("half"), iotest.ErrReader(broken)), 10000)
			require.ErrorIs(t, err, broken)
		})
	}
}

// Guards against decoding a response that was cut at the limit as a shorter, valid
// one.
func TestBodyCutAtTheLimitIsNotDecoded(t *testing.T) {
	var number int
	err := json.NewDecoder(bounded.Reader(strings.NewReader("123456"), 3)).Decode(&number)
	require.ErrorIs(t, err, bounded.ErrTooLong)
}

// Guards against unbounded memory use with many long responses at once. A response
// that exceeds the budget fails and its memory is returned.
func TestConcurrentResponsesStayWithinTheMemoryBudget(t *testing.T) {
	m := bounded.NewMemoryBudget(64 << 10)
	first := m.NewReservation()
	_, err := first.ReadAll(strings.NewReader(strings.Repeat("y", 50<<10)), 1<<20)
	require.NoError(t, err)
	second := m.NewReservation()
	_, err = second.ReadAll(&endlessReader{}, 1<<20)
	require.ErrorIs(t, err, bounded.ErrNoMemory)
	second.Release()
	require.NoError(t, m.NewReservation().Grow(4<<10))
	first.Release()
	require.NoError(t, m.NewReservation().Grow(60<<10))
	require.ErrorIs(t, m.NewReservation().Grow(1), bounded.ErrNoMemory)
}

// Guards against a body whose buffers take more memory than was reserved for it, as
// they do if it is copied while it grows.
func TestBodyTakesTheMemoryThatIsReserved(t *testing.T) {
	const size, budget = 8 << 20, 8<<20 + 128<<10
	m := bounded.NewMemoryBudget(budget)
	res := m.NewReservation()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	body, err := res.ReadAll(io.LimitReader(&endlessReader{}, size), size)
	runtime.ReadMemStats(&after)
	require.NoError(t, err)
	require.LessOrEqual(t, after.TotalAlloc-before.TotalAlloc, uint64(budget))
	require.Len(t, contents(t, body), size)
}
