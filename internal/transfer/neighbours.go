package transfer

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"almondreel.example/almondreel/internal/agent"
	"almondreel.example/almondreel/internal/counter"
	"almondreel.example/almondreel/internal/gateway"
	"almondreel.example/almondreel/internal/haveset"
	"almondreel.example/almondreel/internal/pause"
	"almondreel.example/almondreel/internal/peer"
)

const (
	nearNeighbours = 6 // called in the own region, own data centre first
	randomOfNear   = 2 // of these, drawn from the whole region
	farNeighbours  = 2 // called in other regions
	maxNeighbours  = 20
	tendInterval   = 500 * time.Millisecond
	maxFailures    = 3               // calls in a row before a neighbour is dropped
	callerAbsent   = 2 * time.Second // it calls at least once in idleGap
	callerSilence  = 6 * time.Second
	exchangeLeast  = 30 * time.Millisecond // between two calls to one neighbour
	exchangeMost   = 400 * time.Millisecond
	unknownGap     = 150 * time.Millisecond
	idleGap        = time.Second
	completeGap    = 4 * time.Second
)

var errSilent = errors.New("the neighbour no longer calls")

// neighbour is an agent whose holdings are followed. Transfer.mu guards it.
type neighbour struct {
	peer         gateway.Peer
	client       *peer.Client
	remote       *haveset.Remote
	acknowledged agent.Mark // what it knows of the own holdings
	toldSeen     uint64     // seenCount when the seen sets were last told
	inFlight     int
	notBefore    time.Time // it is not asked for chunks before
	suspect      bool      // its last chunk stalled or failed
	failures     int
	heardAt      time.Time
	heard        bool               // it has told its holdings, or a call to it failed
	cancel       context.CancelFunc // ends the calls; nil when the neighbour calls
}

// doubted reports whether the last chunk from n failed and n is still avoided
// for it. After that n counts as a holder again: it may only have paused.
func (n *neighbour) doubted(now time.Time) bool {
	return n.suspect && now.Before(n.notBefore)
}

// tend keeps enough neighbours and calls each in a goroutine of its own.
func (t *Transfer) tend(ctx context.Context) {
	ended := make(chan struct{}, maxNeighbours)
	running := 0
	ticker := time.NewTicker(tendInterval)
	defer ticker.Stop()
	for {
		running += t.choose(ctx, ended)
		select {
		case <-ended:
			running--
		case <-ticker.C:
		case <-ctx.Done():
			for ; running > 0; running-- {
				<-ended
			}
			t.closeAll()
			return
		}
	}
}

// choose drops silent neighbours and starts calls to new ones, whose number it returns.
func (t *Transfer) choose(ctx context.Context, ended chan<- struct{}) int {
	peers := t.others()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.members.update(t.terms, t.exchange.options.Self, peers, t.manifest)
	t.dropSilent(time.Now())
	chosen := t.candidates(peers)
	for _, p := range chosen {
		n := t.meet(p)
		callCtx, cancel := context.WithCancel(ctx)
		n.cancel = cancel
		go func() {
			t.converse(callCtx, n)
			ended <- struct{}{}
		}()
	}
	return len(chosen)
}

// others returns the placed peers without the agent itself.
func (t *Transfer) others() []gateway.Peer {
	t.mu.Lock()
	names := t.terms.Members
	t.mu.Unlock()
	placed := make(map[string]bool, len(names))
	for _, name := range names {
		placed[name] = true
	}
	var out []gateway.Peer
	for _, p := range t.exchange.options.Peers() {
		if placed[p.Name] && p.Name != t.exchange.options.Self.Name {
			out = append(out, p)
		}
	}
	return out
}

func (t *Transfer) dropSilent(now time.Time) {
	for name, n := range t.neighbours {
		if n.cancel == nil && !n.remote.Complete() && now.Sub(n.heardAt) > callerAbsent {
			t.note(name, errSilent)
		}
		if n.cancel == nil && n.inFlight == 0 && now.Sub(n.heardAt) > callerSilence {
			n.client.Close()
			delete(t.neighbours, name)
		}
	}
}

// candidates returns new neighbours: of the own data centre first, some of
// the whole region at random, a few of other regions. Callers hold mu.
func (t *Transfer) candidates(peers []gateway.Peer) []gateway.Peer {
	var centre, region, far []gateway.Peer
	near, away := 0, 0
	for _, n := range t.neighbours {
		if n.cancel == nil {
			continue
		}
		if t.near(n.peer) {
			near++
		} else {
			away++
		}
	}
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, p := range peers {
		switch {
		case t.neighbours[p.Name] != nil:
		case p.DataCentre == t.exchange.options.Self.DataCentre:
			centre = append(centre, p)
		case t.near(p):
			region = append(region, p)
		default:
			far = append(far, p)
		}
	}
	wanted := max(nearNeighbours-near, 0)
	local := min(len(centre), max(wanted-randomOfNear, wanted-len(region)))
	chosen := append([]gateway.Peer(nil), centre[:max(local, 0)]...)
	chosen = append(chosen, region[:min(len(region), wanted-len(chosen))]...)
	return append(chosen, far[:min(len(far), max(farNeighbours-away, 0))]...)
}

// meet records a neighbour. Callers hold mu.
func (t *Transfer) meet(p gateway.Peer) *neighbour {
	n := &neighbour{
		peer:    p,
		client:  peer.NewClient(p.Address, t.exchange.options.Transport),
		remote:  haveset.NewRemote(len(t.manifest.Chunks)),
		heardAt: time.Now(),
	}
	t.neighbours[p.Name] = n
	return n
}

func (t *Transfer) closeAll() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, n := range t.neighbours {
		n.client.Close()
	}
}

// converse exchanges holdings with n until ctx ends or n stays silent.
func (t *Transfer) converse(ctx context.Context, n *neighbour) {
	for {
		request, changed := t.request(n)
		reply, err := n.client.Have(ctx, request)
		gap, lost := t.hear(n, reply, err)
		if lost {
			counter.Add("NeighboursLost", 1)
			return
		}
		if !pause.For(ctx, gap) || !t.waitChange(ctx, n, changed) {
			return
		}
	}
}

func (t *Transfer) request(n *neighbour) (agent.HaveRequest, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	self := t.exchange.options.Self
	request := agent.HaveRequest{
		From:       self.Name,
		Region:     self.Region,
		DataCentre: self.DataCentre,
		Address:    self.Address,
		Digest:     t.plan.Digest,
		Holdings:   t.own.Since(n.acknowledged),
		Known:      n.remote.Mark(),
		Seen:       t.tell(n),
	}
	return request, t.changed
}

// tell returns the seen sets if they grew since n was last told. Callers hold mu.
func (t *Transfer) tell(n *neighbour) agent.Seen {
	if n.toldSeen == t.seenCount {
		return agent.Seen{}
	}
	n.toldSeen = t.seenCount
	return agent.Seen{
		InRegion: append([]uint64(nil), t.region.Words()...),
		Anywhere: append([]uint64(nil), t.anywhere.Words()...),
	}
}

// hear takes in n's reply and returns the time until the next call; lost means
// that n is no longer a neighbour.
func (t *Transfer) hear(n *neighbour, reply agent.HaveReply, err error) (gap time.Duration, lost bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.note(n.peer.Name, err)
	if err != nil {
		n.toldSeen = 0
		n.heard = true
		n.failures++
		if n.failures >= maxFailures {
			n.cancel()
			n.client.Close()
			delete(t.neighbours, n.peer.Name)
			return 0, true
		}
		return unknownGap, false
	}
	n.failures = 0
	n.heardAt = time.Now()
	if !reply.Known {
		n.toldSeen = 0
		n.acknowledged = agent.Mark{}
		return unknownGap, false
	}
	n.heard = true
	n.acknowledged = reply.Acknowledged
	t.learn(n, reply.Holdings, reply.Seen)
	return t.exchangeGap(), false
}

// acquainted reports whether every neighbour that the agent calls has told its
// holdings or cannot be reached. One alone is not enough: of agents that start
// together, the first to answer may hold nothing while another holds all.
// Callers hold mu.
func (t *Transfer) acquainted() bool {
	for _, n := range t.neighbours {
		if n.cancel != nil && !n.heard {
			return false
		}
	}
	return len(t.neighbours) > 0
}

// exchangeGap is the time in which about one chunk arrives. Callers hold mu.
func (t *Transfer) exchangeGap() time.Duration {
	down := t.exchange.options.Down
	if down == nil {
		return exchangeLeast
	}
	seconds := float64(t.manifest.Chunks[0].Bytes) / float64(down.Limit())
	return min(max(time.Duration(seconds*float64(time.Second)), exchangeLeast), exchangeMost)
}

// learn takes in what n holds and has seen. What an absent member holds does
// not count as seen: nobody can get it from there. Callers hold mu.
func (t *Transfer) learn(n *neighbour, h agent.Holdings, s agent.Seen) {
	known := n.remote.Mark()
	if err := n.remote.Apply(h); err != nil {
		counter.Add("HoldingsRejected", 1)
		return
	}
	before := t.seenCount
	near := t.near(n.peer)
	if n.remote.Mark() != known && time.Now().After(t.absent[n.peer.Name]) {
		n.remote.Each(func(i int) { t.see(i, near) })
		t.poke()
	}
	if near {
		t.merge(s.InRegion, true)
	}
	t.merge(s.Anywhere, false)
	if t.seenCount != before {
		t.announce()
	}
}

func (t *Transfer) merge(words []uint64, near bool) {
	if len(words) == 0 {
		return
	}
	set, err := haveset.FromWords(words, len(t.chunks))
	if err != nil {
		counter.Add("HoldingsRejected", 1)
		return
	}
	for i, ok := set.NextSet(0); ok; i, ok = set.NextSet(i + 1) {
		t.see(int(i), near)
	}
}

// waitChange waits until there is something new to tell n, or the idle gap is over.
func (t *Transfer) waitChange(ctx context.Context, n *neighbour, changed <-chan struct{}) bool {
	t.mu.Lock()
	gap := idleGap
	if n.remote.Complete() && t.own.Len() == len(t.chunks) {
		gap = completeGap
	}
	t.mu.Unlock()
	timer := time.NewTimer(gap)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	return true
}

// answer is the receiving side of an exchange. A caller without a name asks
// only; a placed caller becomes a neighbour while there is room.
func (t *Transfer) answer(request agent.HaveRequest, reply *agent.HaveReply) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.own == nil {
		return nil
	}
	reply.Known = true
	reply.Holdings = t.own.Since(request.Known)
	for i, f := range t.flights {
		if f.drawing {
			reply.Drawing = append(reply.Drawing, uint32(i))
		}
	}
	t.yield(request.TakingOver)
	n := t.caller(request)
	if n == nil {
		return nil
	}
	n.heardAt = time.Now()
	t.learn(n, request.Holdings, request.Seen)
	reply.Acknowledged = n.remote.Mark()
	reply.Seen = t.tell(n)
	return nil
}

// yield leaves chunks to a member that takes them over, for one step. Without
// it a first member that comes late would draw beside the one that asked. Those
// under way are in the same reply, so the caller does not draw them. Callers hold mu.
func (t *Transfer) yield(chunks []uint32) {
	until := time.Now().Add(t.step())
	for _, i := range chunks {
		if int(i) < len(t.chunks) && t.flights[int(i)] == nil {
			t.chunks[i].retryAt = until
		}
	}
}

// caller returns the neighbour that sends request, or nil. Callers hold mu.
func (t *Transfer) caller(request agent.HaveRequest) *neighbour {
	n := t.neighbours[request.From]
	if n != nil && n.peer.Address == request.Address {
		return n
	}
	if n != nil || len(t.neighbours) >= maxNeighbours || !t.members.placed(request.From) {
		return nil
	}
	return t.meet(gateway.Peer{
		Name:       request.From,
		Region:     request.Region,
		DataCentre: request.DataCentre,
		Address:    request.Address,
	})
}
