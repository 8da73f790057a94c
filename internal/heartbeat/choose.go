package heartbeat

import (
	"time"

	"almondreel.example/almondreel/internal/instances"
	"almondreel.example/almondreel/internal/rank"
)

const (
	// allGateways is the number of gateways up to which an agent talks to all.
	allGateways = 3
	// chosenGateways is the number that an agent talks to when there are more.
	chosenGateways = 2
	// ownGateways is how many of those are of the agent's own data centre.
	ownGateways = 1
	avoidTime   = 30 * time.Second
)

// choose returns the gateways to talk to: all when they are few, else some of
// the own data centre and the rest from elsewhere, by rendezvous rank. Those
// that do not answer are passed over for a while unless no other is left.
func (h *Heartbeat) choose(now time.Time) []instances.Instance {
	h.mu.Lock()
	defer h.mu.Unlock()
	answering := h.answering(now)
	if len(h.listed) <= allGateways || len(answering) == 0 {
		return h.listed
	}
	var own, far []string
	byName := map[string]instances.Instance{}
	for _, g := range answering {
		byName[g.Name] = g
		if g.DataCentre == h.settings.DataCentre {
			own = append(own, g.Name)
		} else {
			far = append(far, g.Name)
		}
	}
	names := rank.First(h.settings.Name, own, ownGateways)
	names = append(names, rank.First(h.settings.Name, far, chosenGateways-len(names))...)
	var out []instances.Instance
	for _, name := range names {
		out = append(out, byName[name])
	}
	return out
}

func (h *Heartbeat) answering(now time.Time) []instances.Instance {
	var out []instances.Instance
	for _, g := range h.listed {
		if g.State != instances.Leaving && now.After(h.avoided[g.Name]) {
			out = append(out, g)
		}
	}
	return out
}

func (h *Heartbeat) avoid(name string, until time.Time) {
	h.mu.Lock()
	h.avoided[name] = until
	h.mu.Unlock()
	h.wake()
	select {
	case h.unanswered <- struct{}{}:
	default: // the list is about to be read
	}
}
