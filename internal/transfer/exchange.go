// Package transfer brings whole versions to an agent: each chunk is drawn from
// the origin or the store by one agent and passed on between agents.
package transfer

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"almondreel.example/almondreel/internal/agent"
	"almondreel.example/almondreel/internal/chunkstore"
	"almondreel.example/almondreel/internal/gateway"
	"almondreel.example/almondreel/internal/manifest"
	"almondreel.example/almondreel/internal/operator"
	"almondreel.example/almondreel/internal/peer"
	"almondreel.example/almondreel/internal/source"
)

// Plan says which version goes to which instances.
type Plan struct {
	Digest   manifest.Digest
	Model    string
	Version  string
	Weighing operator.Weighing
	ReadyBy  time.Time // zero: no deadline
	Members  []string  // names of the placed instances
}

// Options of an exchange.
type Options struct {
	Self      gateway.Peer
	Store     *chunkstore.Store
	Sources   []*source.Client // in order of preference
	Transport *peer.Transport
	Down      *rate.Limiter         // for draws; nil: unlimited
	Peers     func() []gateway.Peer // agents that fetch or hold the version
}

// Exchange holds an agent's transfers. It is safe for concurrent use.
type Exchange struct {
	options Options
	sources []*sourceState

	mu        sync.Mutex
	transfers map[manifest.Digest]*Transfer
}

// NewExchange returns an exchange without transfers.
func NewExchange(o Options) *Exchange {
	x := &Exchange{options: o, transfers: map[manifest.Digest]*Transfer{}}
	for _, s := range o.Sources {
		x.sources = append(x.sources, &sourceState{client: s})
	}
	return x
}

// Start begins to fetch a version and goes on serving its holdings to other
// agents until ctx ends. A version is fetched once: a second Start of the same
// digest returns the running transfer.
func (x *Exchange) Start(ctx context.Context, p Plan) *Transfer {
	x.mu.Lock()
	defer x.mu.Unlock()
	if t := x.transfers[p.Digest]; t != nil {
		return t
	}
	t := newTransfer(x, p)
	x.transfers[p.Digest] = t
	go func() {
		defer close(t.ended)
		t.run(ctx)
		x.forget(t)
	}()
	return t
}

func (x *Exchange) forget(t *Transfer) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.transfers[t.plan.Digest] == t {
		delete(x.transfers, t.plan.Digest)
	}
}

func (x *Exchange) transfer(d manifest.Digest) *Transfer {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.transfers[d]
}

// Receiver returns the receiver for net/rpc name "Agent".
func (x *Exchange) Receiver() *Receiver { return &Receiver{exchange: x} }

// Receiver answers other agents over net/rpc.
type Receiver struct {
	exchange *Exchange
}

// Have takes in what the sender holds and answers with the agent's own holdings.
func (r *Receiver) Have(request agent.HaveRequest, reply *agent.HaveReply) error {
	t := r.exchange.transfer(request.Digest)
	if t == nil {
		return nil
	}
	return t.answer(request, reply)
}
