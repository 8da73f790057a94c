package faultproxy

import (
	"context"
	"errors"
	"io"
	"net"
	"time"
)

const (
	chunkBytes      = 16 << 10
	maxQueuedChunks = 16 // chunks read and not yet forwarded; reading pauses when the queue is full
	recheckInterval = time.Minute
)

// errCut ends a connection because a fault requires it.
var errCut = errors.New("connection cut by the fault proxy")

// chunk is the data of one read and its time. Empty data marks the end of the stream.
type chunk struct {
	data   []byte
	readAt time.Time
}

// startCopy starts to copy one direction of a connection. The channel receives nil
// after the end of the stream was forwarded, or an error if the connection must be reset.
func (r *Route) startCopy(ctx context.Context, d direction, from, to *net.TCPConn) <-chan error {
	chunks := make(chan chunk, maxQueuedChunks)
	read := make(chan error, 1)
	done := make(chan error, 1)
	go func() { read <- readChunks(ctx, from, chunks) }()
	go func() {
		w := writer{route: r, direction: d, to: to}
		err := w.run(ctx, chunks)
		if err == nil {
			err = <-read
		}
		done <- err
	}()
	return done
}

// readChunks sends what it reads from the connection to chunks until the end of the
// stream or an error, then closes chunks.
func readChunks(ctx context.Context, from *net.TCPConn, chunks chan<- chunk) error {
	defer close(chunks)
	for {
		data := make([]byte, chunkBytes)
		n, err := from.Read(data)
		if n > 0 {
			select {
			case chunks <- chunk{data: data[:n], readAt: time.Now()}:
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// writer writes the chunks of one direction of a connection.
type writer struct {
	route      *Route
	direction  direction
	to         *net.TCPConn
	generation int
	forwarded  int64 // bytes written since the faults last changed
}

func (w *writer) run(ctx context.Context, chunks <-chan chunk) error {
	for {
		s := w.route.state(w.direction)
		if _, cut := s.fault.(Cut); cut {
			return errCut
		}
		select {
		case c, ok := <-chunks:
			if !ok {
				return w.finish(ctx)
			}
			if err := w.forward(ctx, c); err != nil {
				return err
			}
		case <-s.changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// finish forwards the end of the stream as soon as the fault allows it.
func (w *writer) finish(ctx context.Context) error {
	if err := w.forward(ctx, chunk{readAt: time.Now()}); err != nil {
		return err
	}
	return w.to.CloseWrite()
}

// forward applies the current fault to c until c is written or dropped, or the
// connection is cut.
func (w *writer) forward(ctx context.Context, c chunk) error {
	for {
		s := w.route.state(w.direction)
		if s.generation != w.generation {
			w.generation, w.forwarded = s.generation, 0
		}
		switch f := s.fault.(type) {
		case Cut:
			return errCut
		case Stall:
			if err := await(ctx, s.changed, recheckInterval); err != nil {
				return err
			}
		case Blackhole:
			if len(c.data) > 0 {
				return nil
			}
			if err := await(ctx, s.changed, recheckInterval); err != nil {
				return err
			}
		case Delay:
			due := time.Until(c.readAt.Add(time.Duration(f.Milliseconds) * time.Millisecond))
			if due <= 0 {
				return w.write(c.data)
			}
			if err := await(ctx, s.changed, due); err != nil {
				return err
			}
		case Rate:
			if err := s.limiter.WaitN(ctx, len(c.data)); err != nil {
				return err
			}
			return w.write(c.data)
		case CutAfter:
			return w.cutAfter(f, c.data)
		case Flood:
			if err := w.flood(ctx, f, s.changed); err != nil {
				return err
			}
		default:
			return w.write(c.data)
		}
	}
}

func (w *writer) cutAfter(f CutAfter, data []byte) error {
	remaining := f.Bytes - w.forwarded
	if int64(len(data)) < remaining {
		return w.write(data)
	}
	if err := w.write(data[:max(remaining, 0)]); err != nil {
		return err
	}
	return errCut
}

// flood writes until the connection ends. After a change of the faults it returns
// errCut, since the peer cannot tell the flood from what follows.
func (w *writer) flood(ctx context.Context, f Flood, changed <-chan struct{}) error {
	part := []byte(f.Part)
	for next := []byte(f.Head); ; next = part {
		if err := w.write(next); err != nil {
			return err
		}
		select {
		case <-changed:
			return errCut
		default:
		}
		if err := await(ctx, changed, time.Duration(f.Milliseconds)*time.Millisecond); err != nil {
			return err
		}
	}
}

func (w *writer) write(data []byte) error {
	n, err := w.to.Write(data)
	w.forwarded += int64(n)
	return err
}

// await returns nil when changed is closed or timeout has passed, and ctx's error
// when ctx is done.
func await(ctx context.Context, changed <-chan struct{}, timeout time.Duration) error {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	return nil
}
