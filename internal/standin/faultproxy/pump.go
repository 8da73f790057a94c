package faultproxy

import (
	"context"
	"errors"
	"io"
	"net"
	"time"
)

const (
	parcelBytes   = 16 << 10
	parcelsAhead  = 16 // read and not yet forwarded; when full, reading stops
	maxDelayAhead = time.Minute
)

// errCut ends a link on purpose.
var errCut = errors.New("cut by the fault proxy")

// parcel is bytes read at one moment; empty data marks the end of the stream.
type parcel struct {
	data []byte
	at   time.Time
}

// pump forwards one direction. Its end is told on the channel: nil when the
// stream ended whole, an error when the link must be reset.
func (r *Route) pump(ctx context.Context, d direction, from, to *net.TCPConn) <-chan error {
	parcels := make(chan parcel, parcelsAhead)
	read := make(chan error, 1)
	done := make(chan error, 1)
	go func() { read <- readAll(ctx, from, parcels) }()
	go func() {
		w := writer{route: r, direction: d, to: to}
		err := w.run(ctx, parcels)
		if err == nil {
			err = <-read
		}
		done <- err
	}()
	return done
}

// readAll reads from until its end or an error, and closes parcels.
func readAll(ctx context.Context, from *net.TCPConn, parcels chan<- parcel) error {
	defer close(parcels)
	for {
		data := make([]byte, parcelBytes)
		n, err := from.Read(data)
		if n > 0 {
			select {
			case parcels <- parcel{data: data[:n], at: time.Now()}:
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

// writer forwards the parcels of one direction of one link.
type writer struct {
	route      *Route
	direction  direction
	to         *net.TCPConn
	generation int
	forwarded  int64 // bytes since the generation began
}

func (w *writer) run(ctx context.Context, parcels <-chan parcel) error {
	for {
		s := w.route.state(w.direction)
		if _, cut := s.fault.(Cut); cut {
			return errCut
		}
		select {
		case p, ok := <-parcels:
			if !ok {
				return w.finish(ctx)
			}
			if err := w.forward(ctx, p); err != nil {
				return err
			}
		case <-s.changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// finish passes the end of the stream on, once the fault lets it through.
func (w *writer) finish(ctx context.Context) error {
	if err := w.forward(ctx, parcel{at: time.Now()}); err != nil {
		return err
	}
	return w.to.CloseWrite()
}

// forward applies the fault in force to p until it is written, dropped or cut.
func (w *writer) forward(ctx context.Context, p parcel) error {
	for {
		s := w.route.state(w.direction)
		if s.generation != w.generation {
			w.generation, w.forwarded = s.generation, 0
		}
		switch f := s.fault.(type) {
		case Cut:
			return errCut
		case Stall:
			if err := await(ctx, s.changed, maxDelayAhead); err != nil {
				return err
			}
		case Blackhole:
			if len(p.data) > 0 {
				return nil
			}
			if err := await(ctx, s.changed, maxDelayAhead); err != nil {
				return err
			}
		case Delay:
			due := time.Until(p.at.Add(time.Duration(f.Milliseconds) * time.Millisecond))
			if due <= 0 {
				return w.write(p.data)
			}
			if err := await(ctx, s.changed, due); err != nil {
				return err
			}
		case Rate:
			if err := s.limiter.WaitN(ctx, len(p.data)); err != nil {
				return err
			}
			return w.write(p.data)
		case CutAfter:
			return w.cutAfter(f, p.data)
		default:
			return w.write(p.data)
		}
	}
}

func (w *writer) cutAfter(f CutAfter, data []byte) error {
	left := f.Bytes - w.forwarded
	if int64(len(data)) < left {
		return w.write(data)
	}
	if err := w.write(data[:max(left, 0)]); err != nil {
		return err
	}
	return errCut
}

func (w *writer) write(data []byte) error {
	n, err := w.to.Write(data)
	w.forwarded += int64(n)
	return err
}

// await waits for changed, the wait's end or the end of ctx, which is an error.
func await(ctx context.Context, changed <-chan struct{}, wait time.Duration) error {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	return nil
}
