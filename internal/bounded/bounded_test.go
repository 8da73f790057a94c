package bounded_test

import (
	"encoding/json"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/bounded"
)

// endless is a peer that never stops.
type endless struct{ read int64 }

func (e *endless) Read(p []byte) (int, error) {
	for n := range p {
		p[n] = 'x'
	}
	e.read += int64(len(p))
	return len(p), nil
}

func TestReadAllTakesNothingHalf(t *testing.T) {
	for name, read := range map[string]func(io.Reader, int64) ([]byte, error){
		"alone":    bounded.ReadAll,
		"together": func(r io.Reader, most int64) ([]byte, error) { return bounded.NewMemory(1<<20).Hold().ReadAll(r, most) },
		"reader":   func(r io.Reader, most int64) ([]byte, error) { return io.ReadAll(bounded.Reader(r, most)) },
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
			e := &endless{}
			_, err = read(e, 10000)
			require.ErrorIs(t, err, bounded.ErrTooLong)
			require.LessOrEqual(t, e.read, int64(32<<10), "it is left soon after the bound")
			broken := errors.New("reset")
			_, err = read(io.MultiReader(strings.NewReader("half"), iotest.ErrReader(broken)), 10000)
			require.ErrorIs(t, err, broken)
		})
	}
}

// A text that was cut at the bound must not decode as a shorter one.
func TestACutTextIsNotDecoded(t *testing.T) {
	var number int
	err := json.NewDecoder(bounded.Reader(strings.NewReader("123456"), 3)).Decode(&number)
	require.ErrorIs(t, err, bounded.ErrTooLong)
}

// Pattern: many long answers at once. Those that find no room fail, and what
// they took comes back.
func TestAnswersTogetherStayWithinTheMemory(t *testing.T) {
	m := bounded.NewMemory(64 << 10)
	first := m.Hold()
	_, err := first.ReadAll(strings.NewReader(strings.Repeat("y", 50<<10)), 1<<20)
	require.NoError(t, err)
	second := m.Hold()
	_, err = second.ReadAll(&endless{}, 1<<20)
	require.ErrorIs(t, err, bounded.ErrNoMemory)
	second.Release()
	require.NoError(t, m.Hold().Grow(8<<10))
	first.Release()
	require.NoError(t, m.Hold().Grow(56<<10))
	require.ErrorIs(t, m.Hold().Grow(1), bounded.ErrNoMemory)
}
