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

// stuck is a writer that takes nothing until it is let go.
type stuck struct {
	bytes.Buffer
	free chan struct{}
}

func (s *stuck) Write(b []byte) (int, error) {
	<-s.free
	return s.Buffer.Write(b)
}

func TestASlowReaderHoldsNothingUp(t *testing.T) {
	out := &stuck{free: make(chan struct{})}
	s := logsink.New(out)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.Run(ctx)
	}()
	began := time.Now()
	for range 5000 {
		_, err := s.Write([]byte("line\n"))
		require.NoError(t, err)
	}
	require.Less(t, time.Since(began), time.Second)
	close(out.free)
	cancel()
	<-ended
	require.Contains(t, out.String(), "log lines dropped")
	require.GreaterOrEqual(t, strings.Count(out.String(), "line\n"), 2000)
}
