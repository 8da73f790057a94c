// Package logsink takes log lines from the program and writes them beside it,
// so that a slow reader of the log never holds up a request. It keeps a bounded
// number of lines; what does not fit is counted, and the count is said.
package logsink

import (
	"context"
	"flag"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"
)

const (
	// maxLines that wait to be written: some seconds of a busy gateway.
	maxLines = 2048
	// closeTime bounds the writing of what waits when the program ends.
	closeTime = 200 * time.Millisecond
)

// Sink is a log writer that never blocks. It is safe for concurrent use.
type Sink struct {
	lines   chan []byte
	dropped atomic.Int64
	out     io.Writer
}

// New returns a sink that writes to out once it runs.
func New(out io.Writer) *Sink {
	return &Sink{lines: make(chan []byte, maxLines), out: out}
}

// Write takes a line, or counts it if too many wait.
func (s *Sink) Write(line []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Run writes lines until ctx ends and then those that wait.
func (s *Sink) Run(ctx context.Context) {
	for {
		select {
		case line := <-s.lines:
			s.write(line)
		case <-ctx.Done():
			s.flush(time.Now().Add(closeTime))
			return
		}
	}
}

func (s *Sink) flush(until time.Time) {
	for time.Now().Before(until) {
		select {
		case line := <-s.lines:
			s.write(line)
		default:
			return
		}
	}
}

// write writes a line and how many were lost before it. A log that cannot be
// written has nowhere to say so.
func (s *Sink) write(line []byte) {
	if n := s.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(s.out, "%d log lines dropped: too many waited\n", n)
	}
	_, _ = s.out.Write(line)
}

// Start sends the program's log lines through a sink to out. The returned
// function stops it and writes what waits.
func Start(out io.Writer) (stop func()) {
	s := New(out)
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	for name, value := range map[string]string{"logtostderr": "false", "one_output": "true", "stderrthreshold": "FATAL"} {
		if err := flags.Set(name, value); err != nil {
			panic(fmt.Sprintf("klog has no flag %s: %v", name, err))
		}
	}
	klog.SetOutput(s)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.Run(ctx)
	}()
	return func() {
		klog.Flush()
		cancel()
		<-ended
	}
}
