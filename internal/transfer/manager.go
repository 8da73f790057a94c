// Package transfer distributes model weights, peer to peer, to agents on the
// operators' own instances. One agent downloads each chunk of a version from the
// origin or the store; the others fetch it from agents that hold it. On a hosting
// platform package weightsync does so.
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

// Plan names a version and the instances that it is placed on.
type Plan struct {
	Digest   manifest.Digest
	Model    string
	Version  string
	Weighing operator.Weighing
	ReadyBy  time.Time // zero: no deadline
	Members  []string  // names of the placed instances
}

// Options of a manager.
type Options struct {
	Self        gateway.Peer // this agent
	Store       *chunkstore.Store
	Sources     []*source.Client // in order of preference
	Transport   *peer.Transport
	DownLimiter *rate.Limiter         // for downloads from sources; nil: unlimited
	Peers       func() []gateway.Peer // agents that fetch or hold the version
}

// Manager runs an agent's transfers. It is safe for concurrent use.
type Manager struct {
	options Options
	sources []*sourceState

	mu        sync.Mutex
	transfers map[manifest.Digest]*Transfer
}

// NewManager returns a manager without transfers.
func NewManager(o Options) *Manager {
	m := &Manager{options: o, transfers: map[manifest.Digest]*Transfer{}}
	for _, s := range o.Sources {
		m.sources = append(m.sources, &sourceState{client: s})
	}
	return m
}

// Start starts a transfer, which fetches the version and exchanges holdings with
// other agents until ctx ends. A second Start of the same digest returns the
// running transfer.
func (m *Manager) Start(ctx context.Context, p Plan) *Transfer {
	m.mu.Lock()
	defer m.mu.Unlock()
	if t := m.transfers[p.Digest]; t != nil {
		return t
	}
	t := newTransfer(m, p)
	m.transfers[p.Digest] = t
	go func() {
		defer close(t.ended)
		t.run(ctx)
		m.remove(t)
	}()
	return t
}

func (m *Manager) remove(t *Transfer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.transfers[t.plan.Digest] == t {
		delete(m.transfers, t.plan.Digest)
	}
}

func (m *Manager) transfer(d manifest.Digest) *Transfer {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.transfers[d]
}

// Receiver returns the receiver to register with net/rpc as "Agent".
func (m *Manager) Receiver() *Receiver { return &Receiver{manager: m} }

// Receiver handles net/rpc calls of other agents.
type Receiver struct {
	manager *Manager
}

// Have records the sender's holdings and replies with the agent's own. The reply
// stays empty for a version without a transfer.
func (r *Receiver) Have(request agent.HaveRequest, reply *agent.HaveReply) error {
	t := r.manager.transfer(request.Digest)
	if t == nil {
		return nil
	}
	return t.handleHave(request, reply)
}
