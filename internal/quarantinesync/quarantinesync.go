// Package quarantinesync replicates the quarantine table between gateways:
// fingerprints of requests that are suspected or convicted of crashing backend servers.
//
// When a backend server dies while it runs a request, the gateway sends the request's
// fingerprint to all other gateways before it runs the request again, so that every
// gateway recognises repeats of it. Fingerprints that are convicted, and therefore
// refused, are also stored in the key-value service, for gateways that were unreachable
// or start later.
package quarantinesync

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"almondreel.example/almondreel/internal/control"
	"almondreel.example/almondreel/internal/counter"
	"almondreel.example/almondreel/internal/crashreport"
	"almondreel.example/almondreel/internal/event"
	"almondreel.example/almondreel/internal/gateway"
	"almondreel.example/almondreel/internal/kv"
	"almondreel.example/almondreel/pkg/condwrite"
	"almondreel.example/almondreel/pkg/quarantine"
)

// Name is the name under which Receiver is registered with net/rpc.
const Name = "Suspicion"

// Key is the key of the convicted fingerprints in the key-value service.
const Key = "quarantine"

const (
	methodTell    = Name + ".Tell"
	pollInterval  = 5 * time.Second
	retryInterval = time.Second
	writeTimeout  = 5 * time.Second
	maxUnsaved    = 256 // convicted entries that wait to be stored; further ones are only broadcast
)

// TellRequest carries entries and crashes from one gateway to another.
type TellRequest struct {
	From    string
	Entries []quarantine.Entry
	Crashes []crashreport.PartCrash
}

// TellReply holds the number of entries that were received, and when requests with the
// parts of the crashes were last answered.
type TellReply struct {
	Entries int
	Answers []crashreport.PartAnswer
}

// document is the value of Key: it maps fingerprints to their expiry in Unix
// milliseconds.
type document struct {
	Convicted map[string]int64 `json:"Convicted"`
}

// Syncer replicates the entries of a quarantine table. It is safe for concurrent use.
type Syncer struct {
	self    string
	table   *quarantine.Table
	parts   *quarantine.Parts
	peers   func() []gateway.Peer // the other gateways
	store   condwrite.Store
	unsaved chan quarantine.Entry

	mu      sync.Mutex
	clients map[string]*control.Client // by address
}

// New returns the syncer of the gateway called self. peers returns the other gateways.
func New(self string, t *quarantine.Table, parts *quarantine.Parts, peers func() []gateway.Peer, k *kv.Client) *Syncer {
	return &Syncer{
		self:    self,
		table:   t,
		parts:   parts,
		peers:   peers,
		store:   kv.Key{Client: k.WithPurpose("Quarantine"), Name: Key},
		unsaved: make(chan quarantine.Entry, maxUnsaved),
		clients: map[string]*control.Client{},
	}
}

// Receiver returns the net/rpc receiver for Name.
func (s *Syncer) Receiver() *Receiver { return &Receiver{syncer: s} }

// Receiver handles the net/rpc calls of other gateways.
type Receiver struct{ syncer *Syncer }

// Tell merges the entries of another gateway into the table.
func (r *Receiver) Tell(request TellRequest, reply *TellReply) error {
	s, now := r.syncer, time.Now()
	s.table.Merge(request.Entries)
	reply.Entries = len(request.Entries)
	for _, c := range request.Crashes {
		_, answers := crashreport.Encode(nil, s.parts.AnswersTo(c.Parts), now)
		reply.Answers = append(reply.Answers, answers...)
	}
	for _, part := range crashreport.Merge(s.parts, request.Crashes, nil, now) {
		counter.Add("PartsQuarantined", 1)
		event.Log(event.PartQuarantined, "Part", part, "From", request.From)
	}
	return nil
}

// Broadcast sends e to all other gateways. It returns when each of them has merged e
// into its table or its call has failed, at the latest when ctx ends. A convicted entry is also
// queued for the key-value service.
func (s *Syncer) Broadcast(ctx context.Context, e quarantine.Entry) {
	if e.Convicted {
		select {
		case s.unsaved <- e:
		default:
			counter.Add("ConvictionsNotKept", 1)
		}
	}
	s.tellAll(ctx, TellRequest{From: s.self, Entries: []quarantine.Entry{e}})
}

// BroadcastCrash sends c to all other gateways, and merges when these last answered
// requests with its parts. It returns as Broadcast does.
func (s *Syncer) BroadcastCrash(ctx context.Context, c quarantine.PartCrash) {
	now := time.Now()
	crashes, _ := crashreport.Encode([]quarantine.PartCrash{c}, nil, now)
	for _, reply := range s.tellAll(ctx, TellRequest{From: s.self, Crashes: crashes}) {
		_ = crashreport.Merge(s.parts, nil, reply.Answers, time.Now())
	}
}

// tellAll calls Tell on all other gateways and returns the replies of those that
// answered.
func (s *Syncer) tellAll(ctx context.Context, request TellRequest) []TellReply {
	type result struct {
		reply TellReply
		err   error
	}
	peers := s.peers()
	done := make(chan result, len(peers))
	for _, p := range peers {
		client := s.client(p.Address)
		go func() {
			var r result
			r.err = client.Call(ctx, methodTell, request, &r.reply)
			done <- r
		}()
	}
	var replies []TellReply
	for range peers {
		r := <-done
		if r.err != nil {
			counter.Add("SuspicionsNotTold", 1)
			continue
		}
		replies = append(replies, r.reply)
	}
	return replies
}

func (s *Syncer) client(address string) *control.Client {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := s.clients[address]
	if !ok {
		c = control.NewClient(address)
		s.clients[address] = c
	}
	return c
}

// Run stores convicted entries in the key-value service and reads those of other
// gateways, until ctx ends. It returns the error of ctx.
func (s *Syncer) Run(ctx context.Context) error {
	wait := time.Duration(0)
	for {
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case e := <-s.unsaved:
			s.persist(ctx, e)
		case <-timer.C:
			s.poll(ctx)
		}
		timer.Stop()
		wait = pollInterval/2 + rand.N(pollInterval)
	}
}

func (s *Syncer) poll(ctx context.Context) {
	e, err := s.store.Read(ctx)
	if err != nil {
		return
	}
	s.merge(e)
}

func (s *Syncer) merge(e condwrite.Entry) document {
	d := decode(e.Value)
	var entries []quarantine.Entry
	for fingerprint, expiresAt := range d.Convicted {
		entries = append(entries, quarantine.Entry{Fingerprint: fingerprint, Convicted: true, ExpiresAt: time.UnixMilli(expiresAt)})
	}
	s.table.Merge(entries)
	return d
}

func decode(value []byte) document {
	var d document
	if len(value) > 0 && json.Unmarshal(value, &d) != nil {
		counter.Add("ConvictionsUnreadable", 1)
	}
	if d.Convicted == nil {
		d.Convicted = map[string]int64{}
	}
	return d
}

// persist adds e to the document in the key-value service. It retries until the
// document contains e or ctx ends.
func (s *Syncer) persist(ctx context.Context, e quarantine.Entry) {
	for ctx.Err() == nil {
		current, err := s.store.Read(ctx)
		if err == nil && s.tryPersist(ctx, current, e) {
			return
		}
		timer := time.NewTimer(retryInterval/2 + rand.N(retryInterval))
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
}

// tryPersist makes one attempt and reports whether the stored document contains e. If
// the response to a write is lost, the next attempt finds the fingerprint in the
// document, regardless of which gateway wrote it.
func (s *Syncer) tryPersist(ctx context.Context, current condwrite.Entry, e quarantine.Entry) bool {
	d := s.merge(current)
	if d.Convicted[e.Fingerprint] >= e.ExpiresAt.UnixMilli() {
		return true
	}
	now := time.Now().UnixMilli()
	for fingerprint, expiresAt := range d.Convicted {
		if expiresAt < now {
			delete(d.Convicted, fingerprint)
		}
	}
	d.Convicted[e.Fingerprint] = e.ExpiresAt.UnixMilli()
	value, err := json.Marshal(d)
	if err != nil {
		panic(err)
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	_, written := s.store.Swap(ctx, value, current.Revision).(condwrite.Written)
	return written
}
