package transfer

import (
	"context"
	"errors"
	"slices"
	"time"

	"almondreel.example/almondreel/internal/agent"
	"almondreel.example/almondreel/internal/counter"
	"almondreel.example/almondreel/internal/event"
	"almondreel.example/almondreel/internal/gateway"
	"almondreel.example/almondreel/internal/haveset"
	"almondreel.example/almondreel/internal/manifest"
	"almondreel.example/almondreel/internal/operator"
	"almondreel.example/almondreel/internal/peer"
	"almondreel.example/almondreel/pkg/stripe"
)

// Bringing a chunk into the region.
//
// Members rank themselves for each chunk; the first one brings it and the
// others wait for their turn. A member whose turn has come asks those before
// it whether they hold the chunk or are at work on it, and goes ahead only if
// none does. A death so costs one step, a slow draw costs a question, and a
// second draw happens only when the first member cannot be reached.
//
// A member that has brought some chunks which nobody took from it waits until
// one is taken, at most passTime: its death, or a link that no longer carries
// its uploads, then costs the source about a sixty-fourth of the version.
//
// Only the lowest chunks that nobody is known to hold are open, so that the
// source sends few chunks at a time and each is soon passed on.

const (
	settleTime   = 300 * time.Millisecond // at most, for the first exchanges before the first draw
	window       = 8                      // open chunks
	freshTime    = 250 * time.Millisecond // and some draws: an open chunk counts that long
	takeOverStep = time.Second
	maxAhead     = 6  // members asked before a take-over
	farTries     = 3  // agents of other regions tried for one chunk
	minUnpassed  = 1  // chunks under way or brought lately that no neighbour holds
	unpassedPart = 64 // or this part of the version, if that is more
	passTime     = 30 * time.Second
	absentTime   = 10 * time.Second // a member that did not answer is passed over
)

// way is how a chunk is brought.
type way interface{ isWay() }

type (
	fromSource struct{}
	fromRegion struct{ candidates []gateway.Peer } // agents of other regions
)

func (fromSource) isWay() {}
func (fromRegion) isWay() {}

// task is a chunk that the agent brings, with the members to ask first.
type task struct {
	chunk int
	ask   []gateway.Peer
	ahead int // of ask, those before the agent; the others may only hold the chunk
	way   way
}

// launchBrings starts what is the agent's turn. Callers hold mu.
func (t *Transfer) launchBrings(ctx context.Context, now time.Time, copies []int) {
	if now.Sub(t.startedAt) < settleTime && !t.acquainted() || t.members.drawAt == nil {
		return
	}
	t.open(now)
	most := max(minUnpassed, len(t.chunks)/unpassedPart)
	waiting := t.unpassed(now, copies)
	for k := range t.chunks {
		if t.drawing >= maxDraws || waiting > 0 && waiting+t.drawing >= most {
			break
		}
		t.launchBring(ctx, t.members.nth(k), now, copies, false)
	}
	for k := range t.chunks {
		if t.far >= maxFar {
			break
		}
		t.launchBring(ctx, t.members.nth(t.farOrder(k)), now, copies, true)
	}
}

// farOrder returns the position of the k-th chunk to fetch from other regions.
// Where the region draws too, draws go up and fetches come down, so that they
// meet and no chunk comes twice. Callers hold mu.
func (t *Transfer) farOrder(k int) int {
	if t.terms.Weighing == operator.OriginBytes {
		return k
	}
	return len(t.chunks) - 1 - k
}

func (t *Transfer) launchBring(ctx context.Context, i int, now time.Time, copies []int, far bool) {
	if t.own.Has(i) || t.flights[i] != nil || now.Before(t.chunks[i].retryAt) || copies[i] > 0 {
		return
	}
	look := t.drawTurn
	if far {
		look = t.farTurn
	}
	if job, ok := look(i, now); ok {
		t.start(ctx, job)
	}
}

// unpassed counts the chunks that the agent brought lately and no neighbour of
// its region holds, if one fetches the version. Callers hold mu.
func (t *Transfer) unpassed(now time.Time, copies []int) int {
	taken := false
	for _, n := range t.neighbours {
		taken = taken || t.near(n.peer) && n.remote.Mark().Run != 0
	}
	if !taken {
		return 0
	}
	count := 0
	for i, at := range t.brought {
		if copies[i] == 0 && now.Sub(at) < passTime {
			count++
		}
	}
	return count
}

// open opens the lowest chunks that nobody is known to hold. One that has been
// open for long no longer counts. Callers hold mu.
func (t *Transfer) open(now time.Time) {
	seen := t.anywhere
	if t.terms.Weighing != operator.OriginBytes {
		seen = t.region
	}
	left := window
	for k := 0; k < len(t.chunks) && left > 0; k++ {
		i := t.members.nth(k)
		if seen.Test(uint(i)) {
			continue
		}
		s := &t.chunks[i]
		if s.openedAt.IsZero() {
			s.openedAt = now
		}
		if now.Sub(s.openedAt) < freshTime+3*t.drawTime() {
			left--
		}
	}
}

// drawTurn returns the task to draw chunk i from a source, or to bring a lost
// chunk again, if it is the agent's turn. A chunk is lost when it was seen in
// the region and no neighbour holds it one step later. Callers hold mu.
func (t *Transfer) drawTurn(i int, now time.Time) (task, bool) {
	s := t.chunks[i]
	switch {
	case t.region.Test(uint(i)):
		return t.taskFor(i, t.members.region, t.members.nearAt[i], s.nearAt.Add(t.step()), now, true)
	case t.terms.Weighing == operator.OriginBytes && t.anywhere.Test(uint(i)):
		if !t.hurry(i, now) {
			return task{}, false
		}
		return t.taskFor(i, t.members.region, t.members.nearAt[i], s.seenAt, now, false)
	case s.openedAt.IsZero():
		return task{}, false
	}
	return t.taskFor(i, t.members.draw, t.members.drawAt[i], s.openedAt, now, false)
}

// farTurn returns the task to fetch chunk i from another region, if it is the
// agent's turn. Callers hold mu.
func (t *Transfer) farTurn(i int, now time.Time) (task, bool) {
	if t.region.Test(uint(i)) || !t.anywhere.Test(uint(i)) {
		return task{}, false
	}
	job, ok := t.taskFor(i, t.members.region, t.members.nearAt[i], t.chunks[i].seenAt, now, false)
	if ok {
		job.way = fromRegion{t.holders(i, t.manifest.Chunks[i])}
	}
	return job, ok
}

// taskFor returns a task once the agent's turn among names has come. A lost
// chunk is asked for behind the agent's rank too. Callers hold mu.
func (t *Transfer) taskFor(i int, names []string, position int, opened, now time.Time, lost bool) (task, bool) {
	if position < 0 || opened.After(now) {
		return task{}, false
	}
	if now.Before(stripe.Turn(opened, t.present(i, names, position, now), t.step())) {
		return task{}, false
	}
	asked := position
	if lost {
		asked += maxAhead
	}
	ask := t.honest(t.members.ahead(t.manifest.Chunks[i], names, asked), now)
	ahead := len(t.honest(t.members.ahead(t.manifest.Chunks[i], names, position), now))
	return task{chunk: i, ask: ask[:min(len(ask), maxAhead)], ahead: ahead, way: fromSource{}}, true
}

// note records whether a member answered a call. Callers hold mu.
func (t *Transfer) note(name string, err error) {
	if err == nil {
		delete(t.absent, name)
		return
	}
	if !errors.Is(err, context.Canceled) {
		t.absent[name] = time.Now().Add(absentTime)
	}
}

// present counts the members before position that are not known to be absent.
// Callers hold mu.
func (t *Transfer) present(i int, names []string, position int, now time.Time) int {
	if position == 0 || len(t.absent) == 0 {
		return position
	}
	count := 0
	for _, name := range stripe.Rank(string(t.manifest.Chunks[i].Digest), names)[:position] {
		if now.After(t.absent[name]) {
			count++
		}
	}
	return count
}

// honest leaves out agents that are absent or whose chunks were not what they
// claimed. Callers hold mu.
func (t *Transfer) honest(peers []gateway.Peer, now time.Time) []gateway.Peer {
	var out []gateway.Peer
	for _, p := range peers {
		if t.rejected[p.Name] < maxRejected && now.After(t.absent[p.Name]) {
			out = append(out, p)
		}
	}
	return out
}

func (t *Transfer) step() time.Duration { return takeOverStep + 2*t.drawTime() }

func (t *Transfer) drawTime() time.Duration {
	return time.Duration(t.drawMicroseconds) * time.Microsecond
}

// holders returns agents of other regions that hold chunk c: the one that
// first brought it, then neighbours. Callers hold mu.
func (t *Transfer) holders(i int, c manifest.Chunk) []gateway.Peer {
	var out []gateway.Peer
	for _, p := range t.members.ahead(c, t.members.names, len(t.members.names)) {
		if !t.near(p) {
			out = append(out, p)
			break
		}
	}
	for _, n := range t.neighbours {
		if !t.near(n.peer) && n.remote.Has(i) && len(out) < farTries {
			out = append(out, n.peer)
		}
	}
	return t.honest(out, time.Now())
}

// start starts a task unless its kind is at its bound. Callers hold mu.
func (t *Transfer) start(ctx context.Context, job task) {
	_, far := job.way.(fromRegion)
	if far && t.far >= maxFar || !far && t.drawing >= maxDraws {
		return
	}
	if far {
		t.far++
	} else {
		t.drawing++
	}
	ctx, end, f := t.takeOff(ctx, job.chunk)
	f.drawing = true // also while it asks, or the next member would go ahead beside it
	go func() {
		o := t.bring(ctx, job)
		t.landed <- landing{chunk: job.chunk, far: far, bring: true, end: end, outcome: o}
	}()
}

// bring asks the members ahead and then gets the chunk.
func (t *Transfer) bring(ctx context.Context, job task) outcome {
	c := t.manifest.Chunks[job.chunk]
	if len(job.ask) > 0 {
		a := t.ask(ctx, job)
		if a.holder != nil {
			return result(t.fetchOf(ctx, *a.holder, c))
		}
		if a.drawn {
			return postponed{}
		}
		event.Log(event.ChunkTakenOver, "Chunk", job.chunk, "Digest", t.plan.Digest)
		counter.Add("ChunksTakenOver", 1)
	}
	switch w := job.way.(type) {
	case fromRegion:
		return result(t.fetchFar(ctx, c, w.candidates))
	default:
		return result(t.draw(ctx, c))
	}
}

// fetchOf fetches a chunk from an agent that need not be a neighbour.
func (t *Transfer) fetchOf(ctx context.Context, p gateway.Peer, c manifest.Chunk) error {
	err := t.fetchFrom(ctx, peer.NewClient(p.Address, t.exchange.options.Transport), c)
	if isLie(err) {
		t.mu.Lock()
		t.rejected[p.Name]++
		t.mu.Unlock()
	}
	return err
}

// answers sums up what the members ahead said.
type answers struct {
	holder *gateway.Peer // holds the chunk
	drawn  bool          // one is at work on it
}

// ask asks the members ahead at once whether they hold or draw the chunk.
func (t *Transfer) ask(ctx context.Context, job task) answers {
	said := make(chan answers, len(job.ask))
	for k, p := range job.ask {
		go func() {
			said <- t.askOne(ctx, p, job.chunk, k < job.ahead)
		}()
	}
	var sum answers
	for range job.ask {
		a := <-said
		if a.holder != nil {
			sum.holder = a.holder
		}
		sum.drawn = sum.drawn || a.drawn
	}
	return sum
}

// askOne asks p. If p comes before the agent, it leaves the chunk to the agent
// unless it is at work on it; else only what it holds counts.
func (t *Transfer) askOne(ctx context.Context, p gateway.Peer, chunk int, ahead bool) answers {
	client := peer.NewClient(p.Address, t.exchange.options.Transport)
	defer client.Close()
	request := agent.HaveRequest{Digest: t.plan.Digest}
	if ahead {
		request.TakingOver = []uint32{uint32(chunk)}
	}
	reply, err := client.Have(ctx, request)
	t.mu.Lock()
	t.note(p.Name, err)
	t.mu.Unlock()
	if err != nil || !reply.Known {
		return answers{}
	}
	remote := haveset.NewRemote(len(t.chunks))
	if remote.Apply(reply.Holdings) == nil && remote.Has(chunk) {
		return answers{holder: &p}
	}
	return answers{drawn: ahead && slices.Contains(reply.Drawing, uint32(chunk))}
}

// fetchFar tries the candidates in turn.
func (t *Transfer) fetchFar(ctx context.Context, c manifest.Chunk, candidates []gateway.Peer) error {
	err := error(peer.ErrUnknown)
	for _, p := range candidates {
		if err = t.fetchOf(ctx, p, c); err == nil {
			counter.Add("ChunksFetchedFar", 1)
			return nil
		}
	}
	return err
}

// sameDigest returns the indices of all chunks with the digest of chunk i.
// Callers hold mu.
func (t *Transfer) sameDigest(i int) map[int]bool {
	out := map[int]bool{i: true}
	for k, c := range t.manifest.Chunks {
		if c.Digest == t.manifest.Chunks[i].Digest {
			out[k] = true
		}
	}
	return out
}
