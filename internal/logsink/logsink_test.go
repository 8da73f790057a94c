package logsink_test

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/logsink"
)

// blockingWriter blocks every Write until released is closed.
type blockingWriter struct {
	bytes.Buffer
	released chan struct{}
}

func (w *blockingWriter) Write(b []byte) (int, error) {
	<-w.released
	return w.Buffer.Write(b)
}

func TestWriteDoesNotBlockOnSlowReader(t *testing.T) {
	out := &blockingWriter{released: make(chan struct{})}
	s := logsink.New(out)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.Run(ctx)
	}()
	start := time.Now()
	for range 5000 {
		_, err := s.Write([]byte("line\n"))
		require.NoError(t, err)
	}
	require.Less(t, time.Since(start), time.Second)
	close(out.released)
	cancel()
	<-done
	require.Contains(t, out.String(), "log lines dropped")
	require.GreaterOrEqual(t, strings.Count(out.String(), "line\n"), 2000)
}
