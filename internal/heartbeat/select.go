package heartbeat

import (
	"time"

	"almondreel.example/almondreel/internal/instances"
	"almondreel.example/almondreel/internal/rendezvous"
)

const (
	// useAllUpTo is the number of gateways up to which an agent uses all of them.
	useAllUpTo = 3
	// selectedGateways is the number of gateways that an agent uses if there are more.
	selectedGateways = 2
	// localGateways is the number of those in the agent's own data centre.
	localGateways = 1
	avoidDuration = 30 * time.Second
)

// selectGateways returns the gateways to send heartbeats to: all if there are few, else
// some of the agent's own data centre and the rest from others, by rendezvous hashing.
// Gateways that do not answer are skipped for avoidDuration unless no other is left.
func (h *Heartbeat) selectGateways(now time.Time) []instances.Instance {
	h.mu.Lock()
	defer h.mu.Unlock()
	available := h.availableGateways(now)
	if len(h.gateways) <= useAllUpTo || len(available) == 0 {
		return h.gateways
	}
	var local, remote []string
	byName := map[string]instances.Instance{}
	for _, g := range available {
		byName[g.Name] = g
		if g.DataCentre == h.settings.DataCentre {
			local = append(local, g.Name)
		} else {
			remote = append(remote, g.Name)
		}
	}
	names := rendezvous.Top(h.settings.Name, local, localGateways)
	names = append(names, rendezvous.Top(h.settings.Name, remote, selectedGateways-len(names))...)
	var out []instances.Instance
	for _, name := range names {
		out = append(out, byName[name])
	}
	return out
}

func (h *Heartbeat) availableGateways(now time.Time) []instances.Instance {
	var out []instances.Instance
	for _, g := range h.gateways {
		if g.State != instances.Leaving && now.After(h.avoidedUntil[g.Name]) {
			out = append(out, g)
		}
	}
	return out
}

func (h *Heartbeat) avoid(name string, until time.Time) {
	h.mu.Lock()
	h.avoidedUntil[name] = until
	h.mu.Unlock()
	h.notifyChanged()
	select {
	case h.pollNow <- struct{}{}:
	default: // a poll is already pending
	}
}
