// Package suspicion shares suspects and convictions between gateways.
//
// A gateway tells the others of each death at once, before the request runs
// again, so that its repeats through other gateways are recognised. Convictions
// are also kept in the key-value service, for gateways that were not reached or
// start later.
package suspicion

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"almondreel.example/almondreel/internal/control"
	"almondreel.example/almondreel/internal/counter"
	"almondreel.example/almondreel/internal/gateway"
	"almondreel.example/almondreel/internal/kv"
	"almondreel.example/almondreel/pkg/quarantine"
	"almondreel.example/almondreel/pkg/settle"
)

// Name is the net/rpc name of Share's receiver.
const Name = "Suspicion"

// Key holds the convictions in the key-value service.
const Key = "quarantine"

const (
	methodTell   = Name + ".Tell"
	pollInterval = 5 * time.Second
	retryAfter   = time.Second
	writeTimeout = 5 * time.Second
	maxPending   = 256 // convictions that wait to be written; more are only told
)

// TellRequest carries entries between gateways.
type TellRequest struct {
	From    string
	Entries []quarantine.Entry
}

// TellReply says how many entries were adopted.
type TellReply struct{ Entries int }

// record is the value of Key: expiry in Unix milliseconds by fingerprint.
type record struct {
	Convicted map[string]int64 `json:"Convicted"`
}

// Share passes entries on. It is safe for concurrent use.
type Share struct {
	self    string
	table   *quarantine.Table
	peers   func() []gateway.Peer // the other gateways
	store   settle.Store
	pending chan quarantine.Entry

	mu      sync.Mutex
	clients map[string]*control.Client
}

// New returns the share of the gateway called self.
func New(self string, t *quarantine.Table, peers func() []gateway.Peer, k *kv.Client) *Share {
	return &Share{
		self:    self,
		table:   t,
		peers:   peers,
		store:   kv.Key{Client: k.For("Quarantine"), Name: Key},
		pending: make(chan quarantine.Entry, maxPending),
		clients: map[string]*control.Client{},
	}
}

// Receiver returns the net/rpc receiver for Name.
func (s *Share) Receiver() *Receiver { return &Receiver{share: s} }

// Receiver takes other gateways' calls.
type Receiver struct{ share *Share }

// Tell adopts another gateway's entries.
func (r *Receiver) Tell(request TellRequest, reply *TellReply) error {
	r.share.table.Adopt(request.Entries)
	reply.Entries = len(request.Entries)
	return nil
}

// Tell passes e to all gateways and returns when each has adopted it or ctx ends.
func (s *Share) Tell(ctx context.Context, e quarantine.Entry) {
	if e.Convicted {
		select {
		case s.pending <- e:
		default:
			counter.Add("ConvictionsNotKept", 1)
		}
	}
	peers := s.peers()
	done := make(chan error, len(peers))
	for _, p := range peers {
		client := s.client(p.Address)
		go func() {
			request := TellRequest{From: s.self, Entries: []quarantine.Entry{e}}
			done <- client.Call(ctx, methodTell, request, &TellReply{})
		}()
	}
	for range peers {
		if err := <-done; err != nil {
			counter.Add("SuspicionsNotTold", 1)
		}
	}
}

func (s *Share) client(address string) *control.Client {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := s.clients[address]
	if !ok {
		c = control.NewClient(address)
		s.clients[address] = c
	}
	return c
}

// Run keeps convictions in the key-value service and reads those of others
// until ctx ends.
func (s *Share) Run(ctx context.Context) error {
	wait := time.Duration(0)
	for {
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case e := <-s.pending:
			s.keep(ctx, e)
		case <-timer.C:
			s.read(ctx)
		}
		timer.Stop()
		wait = pollInterval/2 + rand.N(pollInterval)
	}
}

func (s *Share) read(ctx context.Context) {
	e, err := s.store.Read(ctx)
	if err != nil {
		return
	}
	s.adopt(e)
}

func (s *Share) adopt(e settle.Entry) record {
	r := decode(e.Value)
	var entries []quarantine.Entry
	for fingerprint, at := range r.Convicted {
		entries = append(entries, quarantine.Entry{Fingerprint: fingerprint, Convicted: true, ExpiresAt: time.UnixMilli(at)})
	}
	s.table.Adopt(entries)
	return r
}

func decode(value []byte) record {
	var r record
	if len(value) > 0 && json.Unmarshal(value, &r) != nil {
		counter.Add("ConvictionsUnreadable", 1)
	}
	if r.Convicted == nil {
		r.Convicted = map[string]int64{}
	}
	return r
}

// keep adds a conviction to the record until it is there or ctx ends.
func (s *Share) keep(ctx context.Context, e quarantine.Entry) {
	for ctx.Err() == nil {
		current, err := s.store.Read(ctx)
		if err == nil && s.add(ctx, current, e) {
			return
		}
		timer := time.NewTimer(retryAfter/2 + rand.N(retryAfter))
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
}

// add makes one try. The fingerprint in the record shows that it is there,
// whoever wrote it, so a lost answer is settled by the next try.
func (s *Share) add(ctx context.Context, current settle.Entry, e quarantine.Entry) bool {
	r := s.adopt(current)
	if r.Convicted[e.Fingerprint] >= e.ExpiresAt.UnixMilli() {
		return true
	}
	now := time.Now().UnixMilli()
	for fingerprint, at := range r.Convicted {
		if at < now {
			delete(r.Convicted, fingerprint)
		}
	}
	r.Convicted[e.Fingerprint] = e.ExpiresAt.UnixMilli()
	value, err := json.Marshal(r)
	if err != nil {
		panic(err)
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	_, written := s.store.Swap(ctx, value, current.Revision).(settle.Written)
	return written
}
