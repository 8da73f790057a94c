// Package logsink buffers log lines and writes them in a goroutine of its own, so
// that a slow reader of the log never blocks a request. Lines beyond a bounded
// buffer are dropped, and their number is logged.
package logsink

import (
	"context"
	"flag"
	"fmt"
	"io"
	"log"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"almondreel.example/almondreel/internal/counter"
)

const (
	// maxLines is the size of the buffer: some seconds of a busy gateway's lines.
	maxLines = 2048
	// FlushTimeout bounds the time to write the buffered lines when the program ends,
	// also if the reader of the log has stalled.
	FlushTimeout = 200 * time.Millisecond
)

// Sink is a log writer that never blocks. It is safe for concurrent use.
type Sink struct {
	lines   chan []byte
	dropped atomic.Int64
	out     io.Writer
}

// New returns a sink that writes to out while Run runs.
func New(out io.Writer) *Sink {
	return &Sink{lines: make(chan []byte, maxLines), out: out}
}

// Write buffers a copy of the line, or drops and counts it if the buffer is full. It
// never returns an error.
func (s *Sink) Write(line []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Run writes lines until ctx ends, then the buffered ones within FlushTimeout.
func (s *Sink) Run(ctx context.Context) {
	for {
		select {
		case line := <-s.lines:
			s.write(line)
		case <-ctx.Done():
			s.flush(time.Now().Add(FlushTimeout))
			return
		}
	}
}

func (s *Sink) flush(deadline time.Time) {
	for time.Now().Before(deadline) {
		select {
		case line := <-s.lines:
			s.write(line)
		default:
			return
		}
	}
}

// write writes a line, after a line with the number of dropped ones, if any. Failed
// writes are counted, since there is no other place to log them.
func (s *Sink) write(line []byte) {
	if n := s.dropped.Swap(0); n > 0 {
		s.count(fmt.Fprintf(s.out, "%d log lines dropped: buffer full\n", n))
	}
	s.count(s.out.Write(line))
}

func (s *Sink) count(_ int, err error) {
	if err != nil {
		counter.Add("LogWritesFailed", 1)
	}
}

// Running is a sink that a goroutine writes.
type Running struct {
	cancel context.CancelFunc
	done   chan struct{}
}

// Start redirects the output of klog and of the standard log package, which net/http and
// net/rpc use, through a sink to out, until it is stopped. It panics if klog lacks a flag
// it needs.
func Start(out io.Writer) Running {
	s := New(out)
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	for name, value := range map[string]string{"logtostderr": "false", "one_output": "true", "stderrthreshold": "FATAL"} {
		if err := flags.Set(name, value); err != nil {
			panic(fmt.Sprintf("klog has no flag %s: %v", name, err))
		}
	}
	klog.SetOutput(s)
	log.SetOutput(s)
	ctx, cancel := context.WithCancel(context.Background())
	r := Running{cancel, make(chan struct{})}
	go func() {
		defer close(r.done)
		s.Run(ctx)
	}()
	return r
}

// Stop writes the buffered lines and stops the sink, both within FlushTimeout.
func (r Running) Stop() { r.StopBy(time.Now().Add(FlushTimeout)) }

// StopBy is Stop with an earlier deadline.
func (r Running) StopBy(deadline time.Time) {
	klog.Flush()
	r.cancel()
	select {
	case <-r.done:
	case <-time.After(time.Until(deadline)):
	}
}
