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
	"almondreel.example/almondreel/pkg/takeover"
)

// Importing a chunk copies it into the region, from a source (the origin or the
// store) or from an agent of another region.
//
// Every member ranks all members for each chunk by rendezvous hashing. The
// first one imports the chunk; the others wait for their turn. A member whose
// turn has come asks those ranked before it whether they hold or are importing
// the chunk, and imports it only if none does. An agent's death thus costs one
// take-over delay, a slow download costs one call, and a chunk is downloaded
// twice only when the first member cannot be reached.
//
// A member starts no download while too many of its recent imports are held by
// no neighbour, for at most replicationTimeout. If the member dies, or its link
// no longer carries its uploads, the source therefore sends only about 1/64 of
// the version again.
//
// Only the lowest chunks that no agent is known to hold are open for download,
// so that the source sends few chunks at a time and each is soon replicated.

const (
	initialExchangeTimeout = 300 * time.Millisecond // limit of the wait for the first exchanges before the first import
	openWindow             = 8                      // open chunks at a time
	minOpenTime            = 250 * time.Millisecond // plus three download times: an open chunk counts towards openWindow
	baseTakeOverDelay      = time.Second            // plus two download times: between the turns of two members
	maxAskedPeers          = 6                      // members asked before a chunk is taken over
	maxCrossRegionHolders  = 3                      // agents of other regions tried for one chunk
	minUnreplicated        = 1                      // least value of the limit of unreplicated imports plus downloads
	unreplicatedDivisor    = 64                     // the limit is the version's number of chunks divided by this
	replicationTimeout     = 30 * time.Second       // after it an import no longer counts as unreplicated
	unreachableTime        = 10 * time.Second       // a member that did not answer is skipped for this time
)

// importMethod is where a chunk is imported from.
type importMethod interface{ isImportMethod() }

type (
	fromSource struct{}
	fromRegion struct{ candidates []gateway.Peer } // agents of other regions
)

func (fromSource) isImportMethod() {}
func (fromRegion) isImportMethod() {}

// importTask is a chunk that the agent imports.
type importTask struct {
	chunk        int
	peers        []gateway.Peer // asked first
	rankedBefore int            // number of leading peers that rank before the agent; of the others only the holdings count
	method       importMethod
}

// scheduleImports starts the imports whose turn is the agent's. t.mu must be
// held.
func (t *Transfer) scheduleImports(ctx context.Context, now time.Time, copies []int) {
	if now.Sub(t.startedAt) < initialExchangeTimeout && !t.neighboursContacted() || t.members.downloadRank == nil {
		return
	}
	t.openChunks(now)
	limit := max(minUnreplicated, len(t.chunks)/unreplicatedDivisor)
	unreplicated := t.unreplicated(now, copies)
	for k := range t.chunks {
		if t.downloading >= maxDownloads || unreplicated > 0 && unreplicated+t.downloading >= limit {
			break
		}
		t.scheduleImport(ctx, t.members.nthChunk(k), now, copies, false)
	}
	for k := range t.chunks {
		if t.crossRegion >= maxCrossRegion {
			break
		}
		t.scheduleImport(ctx, t.members.nthChunk(t.crossRegionOrder(k)), now, copies, true)
	}
}

// crossRegionOrder returns the position, in the region's order, of the k-th
// chunk to fetch from other regions. If the region also downloads from sources,
// downloads ascend and fetches descend, so that no chunk is imported twice. t.mu
// must be held.
func (t *Transfer) crossRegionOrder(k int) int {
	if t.current.Weighing == operator.OriginBytes {
		return k
	}
	return len(t.chunks) - 1 - k
}

func (t *Transfer) scheduleImport(ctx context.Context, i int, now time.Time, copies []int, crossRegion bool) {
	if t.own.Has(i) || t.pending[i] != nil || now.Before(t.chunks[i].retryAt) || copies[i] > 0 {
		return
	}
	turn := t.downloadTurn
	if crossRegion {
		turn = t.crossRegionTurn
	}
	if task, ok := turn(i, now); ok {
		t.startImport(ctx, task)
	}
}

// unreplicated counts the agent's recent imports that no neighbour of its region
// holds; 0 if no such neighbour fetches the version. t.mu must be held.
func (t *Transfer) unreplicated(now time.Time, copies []int) int {
	fetching := false
	for _, n := range t.neighbours {
		fetching = fetching || t.inOwnRegion(n.peer) && n.holdings.Cursor().Run != 0
	}
	if !fetching {
		return 0
	}
	count := 0
	for i, at := range t.importedAt {
		if copies[i] == 0 && now.Sub(at) < replicationTimeout {
			count++
		}
	}
	return count
}

// openChunks opens the lowest chunks that no agent is known to hold for
// download. One that has been open for long no longer counts towards openWindow.
// t.mu must be held.
func (t *Transfer) openChunks(now time.Time) {
	seen := t.seenAnywhere
	if t.current.Weighing != operator.OriginBytes {
		seen = t.seenInRegion
	}
	free := openWindow
	for k := 0; k < len(t.chunks) && free > 0; k++ {
		i := t.members.nthChunk(k)
		if seen.Test(uint(i)) {
			continue
		}
		s := &t.chunks[i]
		if s.openedAt.IsZero() {
			s.openedAt = now
		}
		if now.Sub(s.openedAt) < minOpenTime+3*t.downloadTime() {
			free--
		}
	}
}

// downloadTurn returns the task to download chunk i from a source, or to import
// a lost chunk again, if it is the agent's turn. A chunk is lost if it was seen
// in the region and no neighbour holds it one take-over delay later. t.mu must
// be held.
func (t *Transfer) downloadTurn(i int, now time.Time) (importTask, bool) {
	s := t.chunks[i]
	switch {
	case t.seenInRegion.Test(uint(i)):
		return t.taskIfDue(i, t.members.region, t.members.regionRank[i], s.inRegionAt.Add(t.takeOverDelay()), now, true)
	case t.current.Weighing == operator.OriginBytes && t.seenAnywhere.Test(uint(i)):
		if !t.mustDownload(i, now) {
			return importTask{}, false
		}
		return t.taskIfDue(i, t.members.region, t.members.regionRank[i], s.seenAt, now, false)
	case s.openedAt.IsZero():
		return importTask{}, false
	}
	return t.taskIfDue(i, t.members.downloaders, t.members.downloadRank[i], s.openedAt, now, false)
}

// crossRegionTurn returns the task to fetch chunk i from another region, if it
// is the agent's turn. t.mu must be held.
func (t *Transfer) crossRegionTurn(i int, now time.Time) (importTask, bool) {
	if t.seenInRegion.Test(uint(i)) || !t.seenAnywhere.Test(uint(i)) {
		return importTask{}, false
	}
	task, ok := t.taskIfDue(i, t.members.region, t.members.regionRank[i], t.chunks[i].seenAt, now, false)
	if ok {
		task.method = fromRegion{t.crossRegionHolders(i, t.manifest.Chunks[i])}
	}
	return task, ok
}

// taskIfDue returns a task once the agent's turn among names has come. For a
// lost chunk it also includes members ranked after the agent. t.mu must be held.
func (t *Transfer) taskIfDue(i int, names []string, position int, opened, now time.Time, lost bool) (importTask, bool) {
	if position < 0 || opened.After(now) {
		return importTask{}, false
	}
	if now.Before(takeover.Turn(opened, t.reachableBefore(i, names, position, now), t.takeOverDelay())) {
		return importTask{}, false
	}
	limit := position
	if lost {
		limit += maxAskedPeers
	}
	peers := t.eligible(t.members.rankedBefore(t.manifest.Chunks[i], names, limit), now)
	rankedBefore := len(t.eligible(t.members.rankedBefore(t.manifest.Chunks[i], names, position), now))
	return importTask{chunk: i, peers: peers[:min(len(peers), maxAskedPeers)], rankedBefore: rankedBefore, method: fromSource{}}, true
}

// recordCall records whether a member answered a call. t.mu must be held.
func (t *Transfer) recordCall(name string, err error) {
	if err == nil {
		delete(t.unreachableUntil, name)
		return
	}
	if !errors.Is(err, context.Canceled) {
		t.unreachableUntil[name] = time.Now().Add(unreachableTime)
	}
}

// reachableBefore counts the members ranked before position that are not known
// to be unreachable. t.mu must be held.
func (t *Transfer) reachableBefore(i int, names []string, position int, now time.Time) int {
	if position == 0 || len(t.unreachableUntil) == 0 {
		return position
	}
	count := 0
	for _, name := range takeover.Rank(string(t.manifest.Chunks[i].Digest), names)[:position] {
		if now.After(t.unreachableUntil[name]) {
			count++
		}
	}
	return count
}

// eligible leaves out agents that are unreachable or that sent invalid chunks.
// t.mu must be held.
func (t *Transfer) eligible(peers []gateway.Peer, now time.Time) []gateway.Peer {
	var out []gateway.Peer
	for _, p := range peers {
		if t.invalidChunks[p.Name] < maxInvalidChunks && now.After(t.unreachableUntil[p.Name]) {
			out = append(out, p)
		}
	}
	return out
}

func (t *Transfer) takeOverDelay() time.Duration { return baseTakeOverDelay + 2*t.downloadTime() }

func (t *Transfer) downloadTime() time.Duration {
	return time.Duration(t.downloadMicroseconds) * time.Microsecond
}

// crossRegionHolders returns agents of other regions that may hold chunk c: the
// highest ranked one, which is the first to import it, then neighbours that hold
// it. t.mu must be held.
func (t *Transfer) crossRegionHolders(i int, c manifest.Chunk) []gateway.Peer {
	var out []gateway.Peer
	for _, p := range t.members.rankedBefore(c, t.members.names, len(t.members.names)) {
		if !t.inOwnRegion(p) {
			out = append(out, p)
			break
		}
	}
	for _, n := range t.neighbours {
		if !t.inOwnRegion(n.peer) && n.holdings.Has(i) && len(out) < maxCrossRegionHolders {
			out = append(out, n.peer)
		}
	}
	return t.eligible(out, time.Now())
}

// startImport starts a task unless the limit of its kind is reached. t.mu must
// be held.
func (t *Transfer) startImport(ctx context.Context, task importTask) {
	_, crossRegion := task.method.(fromRegion)
	if crossRegion && t.crossRegion >= maxCrossRegion || !crossRegion && t.downloading >= maxDownloads {
		return
	}
	if crossRegion {
		t.crossRegion++
	} else {
		t.downloading++
	}
	ctx, cancel, pending := t.beginAttempt(ctx, task.chunk)
	pending.importing = true // also while it asks the peers, or the next member would import the chunk too
	go func() {
		o := t.runImport(ctx, task)
		t.results <- attemptResult{chunk: task.chunk, crossRegion: crossRegion, isImport: true, cancel: cancel, outcome: o}
	}()
}

// runImport asks the task's peers for the chunk, then imports it unless one
// holds or is importing it.
func (t *Transfer) runImport(ctx context.Context, task importTask) outcome {
	c := t.manifest.Chunks[task.chunk]
	if len(task.peers) > 0 {
		answer := t.askPeers(ctx, task)
		if answer.holder != nil {
			return outcomeOf(t.fetchFromPeer(ctx, *answer.holder, c))
		}
		if answer.importing {
			return postponed{}
		}
		event.Log(event.ChunkTakenOver, "Chunk", task.chunk, "Digest", t.plan.Digest)
		counter.Add("ChunksTakenOver", 1)
	}
	switch method := task.method.(type) {
	case fromRegion:
		return outcomeOf(t.fetchCrossRegion(ctx, c, method.candidates))
	default:
		return outcomeOf(t.download(ctx, c))
	}
}

// fetchFromPeer fetches a chunk from an agent that need not be a neighbour.
func (t *Transfer) fetchFromPeer(ctx context.Context, p gateway.Peer, c manifest.Chunk) error {
	err := t.fetchChunk(ctx, peer.NewClient(p.Address, t.manager.options.Transport), c)
	if isInvalidChunk(err) {
		t.mu.Lock()
		t.invalidChunks[p.Name]++
		t.mu.Unlock()
	}
	return err
}

// peerAnswer is what one peer, or all peers of a task, answered.
type peerAnswer struct {
	holder    *gateway.Peer // holds the chunk; nil: none
	importing bool          // one is importing it
}

// askPeers asks the task's peers concurrently whether they hold or are
// importing the chunk.
func (t *Transfer) askPeers(ctx context.Context, task importTask) peerAnswer {
	received := make(chan peerAnswer, len(task.peers))
	for k, p := range task.peers {
		go func() {
			received <- t.askPeer(ctx, p, task.chunk, k < task.rankedBefore)
		}()
	}
	var combined peerAnswer
	for range task.peers {
		a := <-received
		if a.holder != nil {
			combined.holder = a.holder
		}
		combined.importing = combined.importing || a.importing
	}
	return combined
}

// askPeer asks p whether it holds the chunk. A peer ranked before the agent also
// defers the chunk to the agent unless it is importing it.
func (t *Transfer) askPeer(ctx context.Context, p gateway.Peer, chunk int, rankedBefore bool) peerAnswer {
	client := peer.NewClient(p.Address, t.manager.options.Transport)
	defer client.Close()
	request := agent.HaveRequest{Digest: t.plan.Digest}
	if rankedBefore {
		request.TakingOver = []uint32{uint32(chunk)}
	}
	reply, err := client.Have(ctx, request)
	t.mu.Lock()
	t.recordCall(p.Name, err)
	t.mu.Unlock()
	if err != nil || !reply.Known {
		return peerAnswer{}
	}
	holdings := haveset.NewRemote(len(t.chunks))
	if holdings.Apply(reply.Holdings) == nil && holdings.Has(chunk) {
		return peerAnswer{holder: &p}
	}
	return peerAnswer{importing: rankedBefore && slices.Contains(reply.Drawing, uint32(chunk))}
}

// fetchCrossRegion tries the candidates in order and returns the last error.
func (t *Transfer) fetchCrossRegion(ctx context.Context, c manifest.Chunk, candidates []gateway.Peer) error {
	err := error(peer.ErrNotHeld)
	for _, p := range candidates {
		if err = t.fetchFromPeer(ctx, p, c); err == nil {
			counter.Add("ChunksFetchedFar", 1)
			return nil
		}
	}
	return err
}

// sameDigest returns the indices of all chunks with the digest of chunk i. t.mu
// must be held.
func (t *Transfer) sameDigest(i int) map[int]bool {
	out := map[int]bool{i: true}
	for k, c := range t.manifest.Chunks {
		if c.Digest == t.manifest.Chunks[i].Digest {
			out[k] = true
		}
	}
	return out
}
