package ledger

import (
	"context"
	"errors"
	"time"

	"almondreel.example/almondreel/internal/control"
	"almondreel.example/almondreel/internal/counter"
	"almondreel.example/almondreel/internal/errs"
	"almondreel.example/almondreel/internal/event"
	"almondreel.example/almondreel/internal/gateway"
)

// Name is the net/rpc name of the ledger's receiver.
const Name = "Ledger"

const (
	methodTake  = Name + ".Take"
	takeTimeout = time.Second
	maxTaken    = 16 // batches of other gateways held at once
)

// ErrFull reports a gateway that holds as many batches of others as it may.
var ErrFull = errors.New("ledger holds as many batches as it may")

// Receiver takes batches of gateways that end.
type Receiver struct {
	ledger *Ledger
}

// Taken answers Receiver.Take.
type Taken struct{}

// Receiver returns the ledger's net/rpc receiver.
func (l *Ledger) Receiver() *Receiver { return &Receiver{l} }

// Take holds a batch until it is written under its own key. A batch that is
// held already is not held twice.
func (r *Receiver) Take(p Parcel, _ *Taken) error {
	l := r.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, q := range l.parcels {
		if q.Key == p.Key {
			return nil
		}
	}
	if len(l.parcels) >= maxTaken {
		return ErrFull
	}
	l.parcels = append(l.parcels, p)
	counter.Add("LedgerBatchesTaken", 1)
	return nil
}

// HandOver gives all that waits to other gateways, to the first that takes it.
// It returns an error if something is left.
func (l *Ledger) HandOver(ctx context.Context, peers []gateway.Peer) error {
	l.writing.Lock()
	defer l.writing.Unlock()
	for {
		p, ok := l.first()
		if !ok {
			return nil
		}
		if err := give(ctx, p, peers); err != nil {
			event.Fail(event.LedgerNotHandedOver, err, "Waiting", l.Waiting())
			return err
		}
		l.drop(p)
		counter.Add("LedgerBatchesHandedOver", 1)
	}
}

func give(ctx context.Context, p Parcel, peers []gateway.Peer) error {
	err := errs.New("hand over batch", p.Key, "there is no other gateway")
	for _, g := range peers {
		if err = giveTo(ctx, p, g); err == nil {
			return nil
		}
	}
	return err
}

func giveTo(ctx context.Context, p Parcel, g gateway.Peer) error {
	ctx, cancel := context.WithTimeout(ctx, takeTimeout)
	defer cancel()
	client := control.NewClient(g.Address)
	defer client.Close()
	return client.Call(ctx, methodTake, p, &Taken{})
}
