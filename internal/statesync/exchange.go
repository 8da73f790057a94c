package statesync

import (
	"context"
	"math/rand/v2"
	"time"

	"almondreel.example/almondreel/internal/control"
	"almondreel.example/almondreel/internal/counter"
	"almondreel.example/almondreel/internal/event"
	"almondreel.example/almondreel/internal/gateway"
	"almondreel.example/almondreel/internal/pause"
)

const (
	exchangeInterval     = time.Second
	exchangeTimeout      = 2 * time.Second
	exchangeFanout       = 3
	maxQuarantineEntries = 256 // per message
)

// runExchanges queries exchangeFanout gateways per second, taken in turn from a
// shuffled list of all. A gateway that is known to have newer documents is queried
// immediately.
func (s *Syncer) runExchanges(ctx context.Context) {
	var remaining []gateway.Peer
	for ctx.Err() == nil {
		if len(remaining) == 0 {
			remaining = s.shuffledGateways()
		}
		n := min(exchangeFanout, len(remaining))
		s.exchangeWith(ctx, remaining[:n])
		remaining = remaining[n:]
		wait, cancel := context.WithTimeout(ctx, exchangeInterval*3/4+pause.Jitter(exchangeInterval/4))
		select {
		case <-wait.Done():
		case p := <-s.pullRequests:
			s.exchangeWith(ctx, []gateway.Peer{p})
		}
		cancel()
	}
}

func (s *Syncer) shuffledGateways() []gateway.Peer {
	gateways := s.table.Gateways(s.self.Name, time.Now())
	rand.Shuffle(len(gateways), func(i, j int) { gateways[i], gateways[j] = gateways[j], gateways[i] })
	s.closeUnusedClients(gateways)
	return gateways
}

// exchangeWith queries the gateways concurrently and waits for all responses.
func (s *Syncer) exchangeWith(ctx context.Context, peers []gateway.Peer) {
	done := make(chan struct{}, len(peers))
	for _, p := range peers {
		go func() {
			defer func() { done <- struct{}{} }()
			s.exchange(ctx, p)
		}()
	}
	for range peers {
		<-done
	}
}

func (s *Syncer) exchange(ctx context.Context, p gateway.Peer) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	snapshot, _ := s.desired.Current()
	seen := s.cursorOf(p.Name)
	request := gateway.ExchangeRequest{
		From:      s.self,
		Revisions: snapshot.Revisions(),
		Run:       seen.runID,
		Sequence:  seen.sequence,
		Convicted: s.quarantined(),
	}
	var reply gateway.ExchangeReply
	if err := s.client(p.Address).Call(ctx, gateway.MethodExchange, request, &reply); err != nil {
		counter.Add("ExchangeFailed", 1)
		return
	}
	s.applyReply(p, seen, reply)
}

func (s *Syncer) applyReply(p gateway.Peer, seen cursor, reply gateway.ExchangeReply) {
	now := time.Now()
	s.table.RecordGateway(p, now)
	complete := reply.Run != seen.runID
	s.table.RecordReport(p.Name, reply.Members, reply.Silent, complete, now)
	s.table.RecordLeavingReport(p.Name, reply.Leaving)
	s.mu.Lock()
	s.cursors[p.Name] = cursor{runID: reply.Run, sequence: reply.Sequence}
	s.mu.Unlock()
	if err := s.desired.Adopt(reply.Documents, p.Name); err != nil {
		counter.Add("DocumentUndecodable", 1)
		event.Fail(event.DocumentUndecodable, err, "Gateway", p.Name)
	}
	s.mergeReceived(reply.Convicted)
}

// Exchange is called by another gateway. It returns the documents and membership
// changes that the caller lacks. If the caller has newer documents, this gateway
// queries it immediately.
func (s *Syncer) Exchange(request gateway.ExchangeRequest, reply *gateway.ExchangeReply) error {
	s.table.RecordGateway(request.From, time.Now())
	snapshot, _ := s.desired.Current()
	after := request.Sequence
	if request.Run != s.runID {
		after = 0
	}
	reply.Documents = snapshot.Newer(request.Revisions)
	reply.Run = s.runID
	reply.Members, reply.Silent, reply.Sequence = s.table.Changes(after)
	reply.Leaving = s.table.ListedLeaving(time.Now())
	reply.Convicted = s.quarantined()
	s.mergeReceived(request.Convicted)
	if snapshot.Behind(request.Revisions) {
		s.requestPull(request.From)
	}
	return nil
}

// requestPull queues an immediate query of p. It does nothing if another query is
// queued already; p is then queried in its regular turn.
func (s *Syncer) requestPull(p gateway.Peer) {
	select {
	case s.pullRequests <- p:
	default:
	}
}

func (s *Syncer) quarantined() []gateway.QuarantineEntry {
	if s.listQuarantined == nil {
		return nil
	}
	entries := s.listQuarantined()
	return entries[:min(len(entries), maxQuarantineEntries)]
}

func (s *Syncer) mergeReceived(entries []gateway.QuarantineEntry) {
	if s.mergeQuarantined != nil && len(entries) > 0 {
		s.mergeQuarantined(entries)
	}
}

func (s *Syncer) cursorOf(name string) cursor {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cursors[name]
}

func (s *Syncer) client(address string) *control.Client {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.clients[address]
	if c == nil {
		c = control.NewClient(address)
		s.clients[address] = c
	}
	return c
}

// closeUnusedClients closes the connections to gateways that are no longer known.
func (s *Syncer) closeUnusedClients(keep []gateway.Peer) {
	kept := map[string]bool{}
	for _, p := range keep {
		kept[p.Address] = true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for address, c := range s.clients {
		if !kept[address] {
			c.Close()
			delete(s.clients, address)
		}
	}
}

func (s *Syncer) closeClients() {
	s.closeUnusedClients(nil)
}
