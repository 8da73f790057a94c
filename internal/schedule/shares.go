package schedule

import (
	"slices"
	"time"

	"almondreel.example/almondreel/internal/rendezvous"
)

// Without exact shares each gateway may have its estimated share of a server's slots plus
// one. With many gateways these limits add up to several times the slots, and requests wait
// at the server, in its order, until they miss their targets. Exact shares add up to the
// slots, so that requests wait at the gateways, in the order of their priority.

const (
	// queuedPerServer is the number of requests that wait at a server with exact shares, so
	// that the slot of a request that ended is not idle until the next one arrives.
	queuedPerServer = 1
	// borrowShare is the fraction of a server's slots up to which a gateway may exceed its
	// own share. Counts of other gateways are up to one gossip round old; in that time a
	// busy server starts about as many requests as the rest.
	borrowShare = 0.8
	// sharedDeviations above the mean of the start latency are expected with exact shares.
	// Few requests wait at the servers then, so the deviation is small.
	sharedDeviations = 2.0
)

// exactShares reports whether the slots of engines are divided among the gateways: if the
// options ask for it, or if the gateways' minimum shares add up to more than one.
func (p *Pool) exactShares() bool { return p.options.ExactShares || p.crowded() }

// crowded reports whether the gateways' minimum shares add up to more than one.
func (p *Pool) crowded() bool { return minShare*float64(len(p.sharers)) > 1 }

// SetSlotSharers sets the names of the gateways among which slots are divided.
func (p *Pool) SetSlotSharers(names []string) {
	if slices.Equal(names, p.sharers) {
		return
	}
	p.sharers = names
	p.enableEstimates()
	for _, s := range p.servers {
		s.slotShare = slotShare{}
	}
}

// slotShare returns the requests that this gateway may always have at a server. All
// gateways that know of each other divide the slots alike; the remainder goes to the first
// ones by rendezvous hashing.
func (p *Pool) slotShare(s *server) int {
	if s.slotShare.slots != s.Slots {
		s.slotShare = p.divideSlots(s)
	}
	return s.slotShare.own
}

// slotShare is this gateway's share of a server's slots.
type slotShare struct {
	own   int
	slots int // that were divided; 0: none yet
}

func (p *Pool) divideSlots(s *server) slotShare {
	gateways := max(1, len(p.sharers))
	slots := s.Slots + queuedPerServer
	share := slotShare{own: slots / gateways, slots: s.Slots}
	if rest := slots % gateways; rest > 0 && slices.Contains(rendezvous.Top(s.ID, p.sharers, rest), p.ownName) {
		share.own++
	}
	return share
}

// exceedsShare reports whether a server has no slot for the request under exact shares.
func (p *Pool) exceedsShare(now time.Time, s *server, r Request) bool {
	running := float64(s.ownRunning + s.otherRunning)
	if r.pastTarget(now) && !r.Resumed && !r.Retried && running >= lateShare*float64(s.Slots) {
		return true
	}
	if s.ownRunning > 0 && s.pendingPromptMS > maxPendingPromptMS {
		return true
	}
	if s.ownRunning < p.slotShare(s) {
		return false
	}
	// The other gateways may start as many requests now as this one.
	withThis := float64(s.ownRunning+1) / p.share(s.Region)
	return max(running, withThis) >= borrowShare*float64(s.Slots)
}

// waitsForShare reports whether requests wait, under exact shares, so that this gateway's
// fraction of the running requests is representative even if there are few: a small site
// has no room for more.
func (p *Pool) waitsForShare() bool { return len(p.queue) > 0 && p.exactShares() }

// hasRoom reports whether a gateway that has no share of any available server may have one
// request at a server. With more gateways than slots, it may have shares only of servers that
// are evacuated, cold or in other regions, or none at all. All
// such gateways may start one at the same time, so it is only one, and only while the known
// requests are below the limit of borrowed slots.
func (p *Pool) hasRoom(now time.Time, s *server, r Request) bool {
	fraction := borrowShare
	if r.pastTarget(now) {
		fraction = lateShare
	}
	return s.ownRunning == 0 && float64(s.otherRunning) < fraction*float64(s.Slots)
}

// startMS returns the milliseconds in which servers are expected to start a response,
// excluding prompt processing.
func (p *Pool) startMS() float64 {
	if p.exactShares() {
		return p.startLatency.within(sharedDeviations)
	}
	return p.startLatency.upper()
}
