package hosted

import (
	"time"

	"almondreel.example/almondreel/internal/belief"
	"almondreel.example/almondreel/internal/event"
	"almondreel.example/almondreel/internal/neighbour"
	"almondreel.example/almondreel/internal/packed"
)

// pullTime is how long one call may keep others from pulling beliefs: what
// changed is then told once and not by every gateway that is called meanwhile.
const pullTime = 100 * time.Millisecond

// beginPull reports whether a call may pull beliefs now.
func (n *neighbours) beginPull(now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if now.Before(n.pulls) {
		return false
	}
	n.pulls = now.Add(pullTime)
	return true
}

func (n *neighbours) endPull() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.pulls = time.Time{}
}

// pulled takes what another gateway believes.
func (n *neighbours) pulled(reply neighbour.ExchangeReply, from string) {
	for i, item := range reply.Beliefs.Items {
		if !reply.Packed[item.Key] {
			continue
		}
		value, err := packed.Unpack(item.Value)
		if err != nil {
			event.Fail(event.EntryUnreadable, err, "Key", item.Key, "Revision", item.Revision, "From", from)
			return
		}
		reply.Beliefs.Items[i].Value = value
	}
	k := n.roster.knowledge
	k.take(k.beliefs.Adopt(reply.Beliefs), from)
	if reply.AgeMilliseconds >= 0 && k.beliefs.Revision() >= reply.Revision {
		k.confirm(time.Now().Add(-time.Duration(reply.AgeMilliseconds) * time.Millisecond))
	}
}

// pack is the compressed value of an item at a revision.
type pack struct {
	revision int64
	value    []byte
}

// packFrom is the size in bytes from which values are compressed that go to
// another region: a configuration, and not the entry of a server.
const packFrom = 4 << 10

// pack compresses large values, each once. It returns the keys of those.
func (n *neighbours) pack(u belief.Update) (belief.Update, map[string]bool) {
	packs := map[string]bool{}
	for i, item := range u.Items {
		if len(item.Value) < packFrom {
			continue
		}
		n.mu.Lock()
		held := n.packs[item.Key]
		n.mu.Unlock()
		if held.revision != item.Revision {
			held = pack{item.Revision, packed.Pack(item.Value)}
			n.mu.Lock()
			n.packs[item.Key] = held
			n.mu.Unlock()
		}
		u.Items[i].Value = held.value
		packs[item.Key] = true
	}
	return u, packs
}
