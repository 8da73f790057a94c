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
	methodTake   = Name + ".Take"
	takeTimeout  = time.Second
	maxTakenOver = 16 // Take refuses a batch if this many are pending
)

// ErrFull reports that a gateway has too many pending batches to take over
// another.
var ErrFull = errors.New("ledger has too many pending batches")

// Receiver is the net/rpc receiver that takes over batches from gateways that
// shut down.
type Receiver struct {
	ledger *Ledger
}

// TakeReply is the empty reply of Receiver.Take.
type TakeReply struct{}

// Receiver returns the receiver of the ledger.
func (l *Ledger) Receiver() *Receiver { return &Receiver{l} }

// Take takes over a batch, which is then written under its own key. Repeated
// calls with the same batch have no further effect. The error is ErrFull.
func (r *Receiver) Take(b KeyedBatch, _ *TakeReply) error {
	l := r.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, other := range l.pending {
		if other.Key == b.Key {
			return nil
		}
	}
	if len(l.pending) >= maxTakenOver {
		return ErrFull
	}
	l.pending = append(l.pending, b)
	counter.Add("LedgerBatchesTaken", 1)
	return nil
}

// HandOver sends all pending batches to other gateways, each to the first peer
// that accepts it. It returns an error if a batch is accepted by none.
func (l *Ledger) HandOver(ctx context.Context, peers []gateway.Peer) error {
	l.writeMu.Lock()
	defer l.writeMu.Unlock()
	for {
		b, ok := l.oldest()
		if !ok {
			return nil
		}
		if err := handOverBatch(ctx, b, peers); err != nil {
			event.Fail(event.LedgerNotHandedOver, err, "Waiting", l.Pending())
			return err
		}
		l.remove(b)
		counter.Add("LedgerBatchesHandedOver", 1)
	}
}

func handOverBatch(ctx context.Context, b KeyedBatch, peers []gateway.Peer) error {
	err := errs.New("hand over batch", b.Key, "no other gateway")
	for _, peer := range peers {
		if err = sendBatch(ctx, b, peer); err == nil {
			return nil
		}
	}
	return err
}

func sendBatch(ctx context.Context, b KeyedBatch, peer gateway.Peer) error {
	ctx, cancel := context.WithTimeout(ctx, takeTimeout)
	defer cancel()
	client := control.NewClient(peer.Address)
	defer client.Close()
	return client.Call(ctx, methodTake, b, &TakeReply{})
}
