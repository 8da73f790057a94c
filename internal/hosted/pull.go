package hosted

import (
	"time"

	"almondreel.example/almondreel/internal/ages"
	"almondreel.example/almondreel/internal/compress"
	"almondreel.example/almondreel/internal/event"
	"almondreel.example/almondreel/internal/hostedrpc"
	"almondreel.example/almondreel/internal/mirror"
)

// pullMaxTime is how long one call may keep others from pulling store items. Without
// it, every gateway called at that time would send the same changes.
const pullMaxTime = 100 * time.Millisecond

// beginPull reports whether a call may pull store items now, and if so keeps others
// from pulling.
func (gs *gossiper) beginPull(now time.Time) bool {
	gs.mu.Lock()
	defer gs.mu.Unlock()
	if now.Before(gs.pullUntil) {
		return false
	}
	gs.pullUntil = now.Add(pullMaxTime)
	return true
}

func (gs *gossiper) endPull() {
	gs.mu.Lock()
	defer gs.mu.Unlock()
	gs.pullUntil = time.Time{}
}

// applyPull applies the store items that another gateway sent. A reply without items
// still confirms that the mirror is current.
func (gs *gossiper) applyPull(reply hostedrpc.ExchangeReply, from string) {
	for i, item := range reply.Beliefs.Items {
		if !reply.Packed[item.Key] {
			continue
		}
		value, err := compress.Gunzip(item.Value)
		if err != nil {
			event.Fail(event.EntryInvalid, err, "Key", item.Key, "Revision", item.Revision, "From", from)
			return
		}
		reply.Beliefs.Items[i].Value = value
	}
	view := gs.servers.siteView
	view.apply(view.mirror.ApplyUpdate(reply.Beliefs), from)
	if reply.AgeMilliseconds >= 0 && view.mirror.Revision() >= reply.Revision {
		view.confirmCurrent(ages.At(time.Now(), reply.AgeMilliseconds))
	}
}

// compressedValue caches the compressed value of an item at a revision.
type compressedValue struct {
	revision int64
	value    []byte
}

// compressMinBytes is the size in bytes from which values sent to another region are
// compressed: it includes a configuration but not the entry of a server.
const compressMinBytes = 4 << 10

// compressLarge compresses the large values in u, each revision once. It returns u and
// the keys of the compressed values.
func (gs *gossiper) compressLarge(u mirror.Update) (mirror.Update, map[string]bool) {
	compressed := map[string]bool{}
	for i, item := range u.Items {
		if len(item.Value) < compressMinBytes {
			continue
		}
		gs.mu.Lock()
		cached := gs.compressed[item.Key]
		gs.mu.Unlock()
		if cached.revision != item.Revision {
			cached = compressedValue{item.Revision, compress.Gzip(item.Value)}
			gs.mu.Lock()
			gs.compressed[item.Key] = cached
			gs.mu.Unlock()
		}
		u.Items[i].Value = cached.value
		compressed[item.Key] = true
	}
	return u, compressed
}
