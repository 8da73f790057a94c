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
	regionNeighbours       = 6                      // called in the agent's region, those of its data centre first
	randomRegionNeighbours = 2                      // of these, chosen from the rest of the region
	crossRegionNeighbours  = 2                      // called in other regions
	maxNeighbours          = 20                     // including those that call the agent
	neighbourInterval      = 500 * time.Millisecond // between updates of the neighbours
	maxCallFailures        = 3                      // calls in a row before a neighbour is dropped
	callerUnreachableAfter = 2 * time.Second        // without a call; callers that lack chunks call at least once in idleInterval
	callerTimeout          = 6 * time.Second        // without a call, after which a caller is dropped
	minExchangeInterval    = 30 * time.Millisecond  // between two calls to one neighbour
	maxExchangeInterval    = 400 * time.Millisecond
	failedExchangeDelay    = 150 * time.Millisecond // or if the neighbour has no transfer of the version
	idleInterval           = time.Second            // between two calls if nothing changes
	completeInterval       = 4 * time.Second        // if both sides hold all chunks
)

var errStoppedCalling = errors.New("neighbour stopped calling")

// neighbour is an agent with which holdings are exchanged. Transfer.mu guards it.
type neighbour struct {
	peer          gateway.Peer
	client        *peer.Client
	holdings      *haveset.Remote
	acknowledged  agent.Cursor // what the neighbour has of the agent's holdings
	sentSeenCount uint64       // seenCount when the seen sets were last sent
	inFlight      int          // fetches in progress
	notBefore     time.Time    // no chunk is fetched from it before
	lastFailed    bool         // the last chunk fetched from it stalled or failed
	callFailures  int          // in a row
	lastContactAt time.Time
	contacted     bool               // it has sent its holdings, or a call to it failed
	cancel        context.CancelFunc // ends the calls; nil if the neighbour calls the agent
}

// avoided reports whether n is not asked for chunks because the last one failed.
// It counts as a holder again after notBefore: it may have stalled for a moment
// only.
func (n *neighbour) avoided(now time.Time) bool {
	return n.lastFailed && now.Before(n.notBefore)
}

// maintainNeighbours keeps the number of neighbours up and exchanges holdings
// with each in a goroutine of its own, until ctx ends.
func (t *Transfer) maintainNeighbours(ctx context.Context) {
	ended := make(chan struct{}, maxNeighbours)
	running := 0
	ticker := time.NewTicker(neighbourInterval)
	defer ticker.Stop()
	for {
		running += t.updateNeighbours(ctx, ended)
		select {
		case <-ended:
			running--
		case <-ticker.C:
		case <-ctx.Done():
			for ; running > 0; running-- {
				<-ended
			}
			t.closeNeighbours()
			return
		}
	}
}

// updateNeighbours drops callers that timed out, starts calls to new neighbours
// and returns the number of the new ones.
func (t *Transfer) updateNeighbours(ctx context.Context, ended chan<- struct{}) int {
	peers := t.placedPeers()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.members.update(t.current, t.manager.options.Self, peers, t.manifest)
	t.expireCallers(time.Now())
	chosen := t.newNeighbours(peers)
	for _, p := range chosen {
		n := t.addNeighbour(p)
		callCtx, cancel := context.WithCancel(ctx)
		n.cancel = cancel
		go func() {
			t.exchangeLoop(callCtx, n)
			ended <- struct{}{}
		}()
	}
	return len(chosen)
}

// placedPeers returns the known agents of placed instances, without the agent
// itself.
func (t *Transfer) placedPeers() []gateway.Peer {
	t.mu.Lock()
	names := t.current.Members
	t.mu.Unlock()
	placed := make(map[string]bool, len(names))
	for _, name := range names {
		placed[name] = true
	}
	var out []gateway.Peer
	for _, p := range t.manager.options.Peers() {
		if placed[p.Name] && p.Name != t.manager.options.Self.Name {
			out = append(out, p)
		}
	}
	return out
}

// expireCallers marks callers that stopped calling as unreachable and drops them
// after callerTimeout. t.mu must be held.
func (t *Transfer) expireCallers(now time.Time) {
	for name, n := range t.neighbours {
		if n.cancel == nil && !n.holdings.Complete() && now.Sub(n.lastContactAt) > callerUnreachableAfter {
			t.recordCall(name, errStoppedCalling)
		}
		if n.cancel == nil && n.inFlight == 0 && now.Sub(n.lastContactAt) > callerTimeout {
			n.client.Close()
			delete(t.neighbours, name)
		}
	}
}

// newNeighbours returns the peers to call from now on: those of the agent's data
// centre first, some of the rest of the region, a few of other regions, each at
// random. t.mu must be held.
func (t *Transfer) newNeighbours(peers []gateway.Peer) []gateway.Peer {
	var sameCentre, sameRegion, otherRegions []gateway.Peer
	regionCount, crossRegionCount := 0, 0
	for _, n := range t.neighbours {
		if n.cancel == nil {
			continue
		}
		if t.inOwnRegion(n.peer) {
			regionCount++
		} else {
			crossRegionCount++
		}
	}
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, p := range peers {
		switch {
		case t.neighbours[p.Name] != nil:
		case p.DataCentre == t.manager.options.Self.DataCentre:
			sameCentre = append(sameCentre, p)
		case t.inOwnRegion(p):
			sameRegion = append(sameRegion, p)
		default:
			otherRegions = append(otherRegions, p)
		}
	}
	wanted := max(regionNeighbours-regionCount, 0)
	fromCentre := min(len(sameCentre), max(wanted-randomRegionNeighbours, wanted-len(sameRegion)))
	chosen := append([]gateway.Peer(nil), sameCentre[:max(fromCentre, 0)]...)
	chosen = append(chosen, sameRegion[:min(len(sameRegion), wanted-len(chosen))]...)
	return append(chosen, otherRegions[:min(len(otherRegions), max(crossRegionNeighbours-crossRegionCount, 0))]...)
}

// addNeighbour adds a neighbour with unknown holdings. t.mu must be held.
func (t *Transfer) addNeighbour(p gateway.Peer) *neighbour {
	n := &neighbour{
		peer:          p,
		client:        peer.NewClient(p.Address, t.manager.options.Transport),
		holdings:      haveset.NewRemote(len(t.manifest.Chunks)),
		lastContactAt: time.Now(),
	}
	t.neighbours[p.Name] = n
	return n
}

func (t *Transfer) closeNeighbours() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, n := range t.neighbours {
		n.client.Close()
	}
}

// exchangeLoop exchanges holdings with n until ctx ends or maxCallFailures calls
// in a row have failed.
func (t *Transfer) exchangeLoop(ctx context.Context, n *neighbour) {
	for {
		request, changed := t.haveRequest(n)
		reply, err := n.client.Have(ctx, request)
		interval, lost := t.handleReply(n, reply, err)
		if lost {
			counter.Add("NeighboursLost", 1)
			return
		}
		if !pause.For(ctx, interval) || !t.waitForChange(ctx, n, changed) {
			return
		}
	}
}

// haveRequest returns the next request to n and the channel that closes when
// there is more to send.
func (t *Transfer) haveRequest(n *neighbour) (agent.HaveRequest, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	self := t.manager.options.Self
	request := agent.HaveRequest{
		From:       self.Name,
		Region:     self.Region,
		DataCentre: self.DataCentre,
		Address:    self.Address,
		Digest:     t.plan.Digest,
		Holdings:   t.own.Since(n.acknowledged),
		Known:      n.holdings.Cursor(),
		Seen:       t.unsentSeen(n),
	}
	return request, t.changed
}

// unsentSeen returns the seen sets if they grew since they were last sent to n.
// t.mu must be held.
func (t *Transfer) unsentSeen(n *neighbour) agent.Seen {
	if n.sentSeenCount == t.seenCount {
		return agent.Seen{}
	}
	n.sentSeenCount = t.seenCount
	return agent.Seen{
		InRegion: append([]uint64(nil), t.seenInRegion.Words()...),
		Anywhere: append([]uint64(nil), t.seenAnywhere.Words()...),
	}
}

// handleReply records n's reply and returns the least time until the next call;
// lost means that n is no longer a neighbour.
func (t *Transfer) handleReply(n *neighbour, reply agent.HaveReply, err error) (interval time.Duration, lost bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recordCall(n.peer.Name, err)
	if err != nil {
		n.sentSeenCount = 0
		n.contacted = true
		n.callFailures++
		if n.callFailures >= maxCallFailures {
			n.cancel()
			n.client.Close()
			delete(t.neighbours, n.peer.Name)
			return 0, true
		}
		return failedExchangeDelay, false
	}
	n.callFailures = 0
	n.lastContactAt = time.Now()
	if !reply.Known {
		n.sentSeenCount = 0
		n.acknowledged = agent.Cursor{}
		return failedExchangeDelay, false
	}
	n.contacted = true
	n.acknowledged = reply.Acknowledged
	t.applyHoldings(n, reply.Holdings, reply.Seen)
	return t.exchangeInterval(), false
}

// neighboursContacted reports whether every neighbour that the agent calls has
// sent its holdings or failed to answer. One is not enough: of agents that start
// together, the first to answer may hold nothing while another holds all chunks.
// t.mu must be held.
func (t *Transfer) neighboursContacted() bool {
	for _, n := range t.neighbours {
		if n.cancel != nil && !n.contacted {
			return false
		}
	}
	return len(t.neighbours) > 0
}

// exchangeInterval returns the time in which about one chunk arrives. t.mu must
// be held.
func (t *Transfer) exchangeInterval() time.Duration {
	limiter := t.manager.options.DownLimiter
	if limiter == nil {
		return minExchangeInterval
	}
	chunkSeconds := float64(t.manifest.Chunks[0].Bytes) / float64(limiter.Limit())
	return min(max(time.Duration(chunkSeconds*float64(time.Second)), minExchangeInterval), maxExchangeInterval)
}

// applyHoldings records what n holds and has seen. The holdings of an
// unreachable member do not count as seen, because no agent can fetch them. t.mu
// must be held.
func (t *Transfer) applyHoldings(n *neighbour, h agent.Holdings, s agent.Seen) {
	known := n.holdings.Cursor()
	if err := n.holdings.Apply(h); err != nil {
		counter.Add("HoldingsRejected", 1)
		return
	}
	before := t.seenCount
	inRegion := t.inOwnRegion(n.peer)
	if n.holdings.Cursor() != known && time.Now().After(t.unreachableUntil[n.peer.Name]) {
		n.holdings.Each(func(i int) { t.markSeen(i, inRegion) })
		t.wakeLoop()
	}
	if inRegion {
		t.mergeSeen(s.InRegion, true)
	}
	t.mergeSeen(s.Anywhere, false)
	if t.seenCount != before {
		t.notifyChanged()
	}
}

func (t *Transfer) mergeSeen(words []uint64, inRegion bool) {
	if len(words) == 0 {
		return
	}
	set, err := haveset.FromWords(words, len(t.chunks))
	if err != nil {
		counter.Add("HoldingsRejected", 1)
		return
	}
	for i, ok := set.NextSet(0); ok; i, ok = set.NextSet(i + 1) {
		t.markSeen(int(i), inRegion)
	}
}

// waitForChange waits until there is more to send to n, or for the idle interval.
// It returns false if ctx ends.
func (t *Transfer) waitForChange(ctx context.Context, n *neighbour, changed <-chan struct{}) bool {
	t.mu.Lock()
	interval := idleInterval
	if n.holdings.Complete() && t.own.Len() == len(t.chunks) {
		interval = completeInterval
	}
	t.mu.Unlock()
	timer := time.NewTimer(interval)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	return true
}

// handleHave handles a HaveRequest. A caller without a name only reads the
// agent's holdings; a placed caller becomes a neighbour while there are fewer
// than maxNeighbours.
func (t *Transfer) handleHave(request agent.HaveRequest, reply *agent.HaveReply) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.own == nil {
		return nil
	}
	reply.Known = true
	reply.Holdings = t.own.Since(request.Known)
	for i, p := range t.pending {
		if p.importing {
			reply.Drawing = append(reply.Drawing, uint32(i))
		}
	}
	t.deferTakenOver(request.TakingOver)
	n := t.callingNeighbour(request)
	if n == nil {
		return nil
	}
	n.lastContactAt = time.Now()
	t.applyHoldings(n, request.Holdings, request.Seen)
	reply.Acknowledged = n.holdings.Cursor()
	reply.Seen = t.unsentSeen(n)
	return nil
}

// deferTakenOver leaves chunks to the caller that takes them over, for one
// take-over delay. Otherwise a higher ranked member that starts late would
// import them too. Pending imports go on: the reply lists them, so the caller
// does not import those. t.mu must be held.
func (t *Transfer) deferTakenOver(chunks []uint32) {
	until := time.Now().Add(t.takeOverDelay())
	for _, i := range chunks {
		if int(i) < len(t.chunks) && t.pending[int(i)] == nil {
			t.chunks[i].retryAt = until
		}
	}
}

// callingNeighbour returns the neighbour that sent request, adding it if it may
// become one, or nil. t.mu must be held.
func (t *Transfer) callingNeighbour(request agent.HaveRequest) *neighbour {
	n := t.neighbours[request.From]
	if n != nil && n.peer.Address == request.Address {
		return n
	}
	if n != nil || len(t.neighbours) >= maxNeighbours || !t.members.isPlaced(request.From) {
		return nil
	}
	return t.addNeighbour(gateway.Peer{
		Name:       request.From,
		Region:     request.Region,
		DataCentre: request.DataCentre,
		Address:    request.Address,
	})
}
