package eventstream_test

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/bounded"
	"almondreel.example/almondreel/internal/eventstream"
)

const memoryLimit = 1 << 20

// readAll returns the events of a stream and the error that ended it.
func readAll(r io.Reader) (all []eventstream.Event, last error) {
	reader := eventstream.NewReader(r, bounded.NewMemoryBudget(memoryLimit).NewReservation())
	for {
		e, err := reader.Next()
		if err != nil {
			if errors.Is(err, io.EOF) {
				all = append(all, e)
			}
			return all, err
		}
		all = append(all, e)
	}
}

// Guards against events that are changed on the way, and against streams that end after
// the first lines of an event or with other text and are taken as complete.
func TestNextPreservesEventBytes(t *testing.T) {
	long := strings.Repeat("x", 5000)
	// The reader's buffer ends just before the end of the line.
	edge := "data: " + strings.Repeat("x", 2048-len("data: ")) + "\nid: 9\n\n"
	for name, c := range map[string]struct {
		text   string
		events []eventstream.Event
		err    error
	}{
		"numbered": {"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", []eventstream.Event{{Bytes: []byte("id: 1\ndata: a\n\n"), ID: "1"}, {Bytes: []byte("id: 2\ndata: b\n\n"), ID: "2"}, {}}, io.EOF},
		"comments": {": a\n\n\ndata: b\r\n\r\n: c\n\n", []eventstream.Event{{Bytes: []byte(": a\n\n\ndata: b\r\n\r\n")}, {Bytes: []byte(": c\n\n")}}, io.EOF},
		"long":     {"data: " + long + "\n\n", []eventstream.Event{{Bytes: []byte("data: " + long + "\n\n")}, {}}, io.EOF},
		"edge":     {edge, []eventstream.Event{{Bytes: []byte(edge), ID: "9"}, {}}, io.EOF},
		"partial":  {"id: 1\ndata: a\n\nid: 2\n", []eventstream.Event{{Bytes: []byte("id: 1\ndata: a\n\n"), ID: "1"}}, eventstream.ErrPartial},
		"half":     {"id: 1\ndata: a\n\nid", []eventstream.Event{{Bytes: []byte("id: 1\ndata: a\n\n"), ID: "1"}}, eventstream.ErrPartial},
		"field":    {"id: 1\ndata: a\n\nversion: 2\n", []eventstream.Event{{Bytes: []byte("id: 1\ndata: a\n\n"), ID: "1"}}, eventstream.ErrPartial},
		"text":     {"id: 1\ndata: a\n\nout of memory\n\n", []eventstream.Event{{Bytes: []byte("id: 1\ndata: a\n\n"), ID: "1"}}, eventstream.ErrPartial},
		"fields":   {"version: 2\nid: 1\ndata: a\n\n", []eventstream.Event{{Bytes: []byte("version: 2\nid: 1\ndata: a\n\n"), ID: "1"}, {}}, io.EOF},
		"empty":    {"", []eventstream.Event{{}}, io.EOF},
	} {
		t.Run(name, func(t *testing.T) {
			for _, r := range []io.Reader{strings.NewReader(c.text), iotest.OneByteReader(strings.NewReader(c.text))} {
				all, err := readAll(r)
				require.ErrorIs(t, err, c.err)
				require.Equal(t, c.events, all)
			}
		})
	}
}

// A faulty server may send endless data that never completes an event. Reading must
// fail at the size limit.
func TestStreamWithoutEventsFailsAtMaxEventBytes(t *testing.T) {
	for name, part := range map[string]string{"lines": "data: x\n", "comments": ": x\n\n", "empty lines": "\n", "one line": "x"} {
		t.Run(name, func(t *testing.T) {
			all, err := readAll(strings.NewReader(strings.Repeat(part, 1+eventstream.MaxEventBytes/len(part))))
			require.ErrorIs(t, err, eventstream.ErrTooLong)
			require.Empty(t, all)
		})
	}
}

// Long events of all streams together are limited by one memory budget.
func TestLongEventsShareMemoryLimit(t *testing.T) {
	memory := bounded.NewMemoryBudget(6 << 10)
	text := "data: " + strings.Repeat("x", 4<<10) + "\n\n"
	first := memory.NewReservation()
	_, err := eventstream.NewReader(strings.NewReader(text), first).Next()
	require.NoError(t, err)
	_, err = eventstream.NewReader(strings.NewReader(text), memory.NewReservation()).Next()
	require.ErrorIs(t, err, bounded.ErrNoMemory)
	first.Release()
	_, err = eventstream.NewReader(strings.NewReader(text), memory.NewReservation()).Next()
	require.NoError(t, err)
}

// For any input, the events contain exactly the bytes read before an error, and no
// event is longer than MaxEventBytes.
func FuzzNext(f *testing.F) {
	f.Add("id: 1\ndata: a\n\n: c\n\n", false)
	f.Add("data: "+strings.Repeat("x", 2042)+"\n\n", true)
	f.Add("\n\r\n: x\nid", false)
	f.Fuzz(func(t *testing.T, text string, slow bool) {
		r := io.Reader(strings.NewReader(text))
		if slow {
			r = iotest.OneByteReader(r)
		}
		all, err := readAll(r)
		var passed strings.Builder
		for _, e := range all {
			require.LessOrEqual(t, len(e.Bytes), eventstream.MaxEventBytes)
			passed.Write(e.Bytes)
		}
		require.True(t, strings.HasPrefix(text, passed.String()))
		if errors.Is(err, io.EOF) {
			require.Equal(t, text, passed.String())
		}
	})
}
