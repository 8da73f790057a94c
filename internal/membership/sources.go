package membership

import (
	"sort"
	"time"

	"almondreel.example/almondreel/internal/gateway"
	"almondreel.example/almondreel/internal/instances"
)

// Changes returns what other gateways need to hear since sequence after: the
// members that changed, those that fell silent, and the sequence now.
func (t *Table) Changes(after uint64) (members []gateway.Member, silent []string, sequence uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, r := range t.records {
		switch {
		case r.directAt.IsZero() || r.changedAt <= after:
		case r.isSilent:
			silent = append(silent, name)
		default:
			members = append(members, r.member)
		}
	}
	sort.Slice(members, func(i, j int) bool { return members[i].Name < members[j].Name })
	sort.Strings(silent)
	return members, silent, t.sequence
}

// Tell records what another gateway hears directly. whole says that members
// is all that it hears, not only what changed.
func (t *Table) Tell(from string, members []gateway.Member, silent []string, whole bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if whole {
		for _, r := range t.records {
			delete(r.via, from)
		}
	}
	for _, m := range members {
		r := t.record(m, now)
		if r.member.Started != m.Started {
			continue // word of an earlier run
		}
		if !newer(r.member, m) {
			r.member = m
		}
		r.via[from] = true
		r.toldSilent = false
		t.step(r, now)
	}
	for _, name := range silent {
		t.tellSilent(from, name)
	}
	if len(members)+len(silent) > 0 {
		t.announce()
	}
}

func (t *Table) tellSilent(from, name string) {
	r, ok := t.records[name]
	if !ok {
		return
	}
	delete(r.via, from)
	if t.gateways[from].peer.DataCentre == r.member.DataCentre {
		r.toldSilent = true
	}
}

// TellLeaving records which instances another gateway reads as leaving in the
// platform's list; it replaces what that gateway said before.
func (t *Table) TellLeaving(from string, names []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.told, from)
	if len(names) == 0 {
		return
	}
	t.told[from] = map[string]bool{}
	for _, name := range names {
		t.told[from][name] = true
	}
}

// ListedLeaving returns the instances that the platform's list, if fresh, says
// are leaving.
func (t *Table) ListedLeaving(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.listedAt) > listFresh {
		return nil
	}
	var names []string
	for name, i := range t.listed {
		if i.State == instances.Leaving {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// HearGateway records that another gateway was heard.
func (t *Table) HearGateway(p gateway.Peer, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.gateways[p.Name] = gatewayRecord{peer: p, heardAt: at}
}

// List records the platform's list.
func (t *Table) List(l instances.List, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listed = map[string]instances.Instance{}
	t.listedAt = at
	live := map[string]bool{}
	for _, i := range l.Instances {
		t.listed[i.Name] = i
		live[i.Name] = i.Role == instances.RoleGateway
	}
	for name, g := range t.gateways {
		if !live[name] && at.Sub(g.heardAt) > expireAfter {
			delete(t.gateways, name)
			delete(t.told, name)
		}
	}
}

// Gateways returns the gateways, besides the caller itself, that were heard
// lately or that the platform lists, in order of name.
func (t *Table) Gateways(self string, now time.Time) []gateway.Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	found := map[string]gateway.Peer{}
	for name, i := range t.listed {
		if i.Role == instances.RoleGateway {
			found[name] = gateway.Peer{Name: name, Region: i.Region, DataCentre: i.DataCentre, Address: i.Address}
		}
	}
	for name, g := range t.gateways {
		if t.gatewayHeard(name, now) {
			found[name] = g.peer
		}
	}
	delete(found, self)
	out := make([]gateway.Peer, 0, len(found))
	for _, p := range found {
		out = append(out, p)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// LiveGateways returns the names of the gateways heard lately and of self, in order.
func (t *Table) LiveGateways(self string, now time.Time) []gateway.Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []gateway.Peer
	for name, g := range t.gateways {
		if name != self && t.gatewayHeard(name, now) {
			out = append(out, g.peer)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Connected reports whether at least half of the gateways that are known are
// heard by self, itself counted.
func (t *Table) Connected(self string, now time.Time) bool {
	known, heard := 1, 1
	for _, p := range t.known(self) {
		known++
		if t.heard(p, now) {
			heard++
		}
	}
	return 2*heard >= known
}

// known returns the names of the other gateways, listed or heard at any time.
func (t *Table) known(self string) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	found := map[string]bool{}
	for name, i := range t.listed {
		found[name] = i.Role == instances.RoleGateway
	}
	for name := range t.gateways {
		found[name] = true
	}
	delete(found, self)
	var out []string
	for name, is := range found {
		if is {
			out = append(out, name)
		}
	}
	return out
}

func (t *Table) heard(name string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.gatewayHeard(name, now)
}

// Peers returns up to limit members that fetch or serve the version that the
// member called name wants: of its data centre first, then of its region.
func (t *Table) Peers(name string, limit int, now time.Time) []gateway.Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	self, ok := t.records[name]
	if !ok || self.member.Want == "" {
		return nil
	}
	want := self.member.Want
	var found []gateway.Member
	for _, r := range t.records {
		m := r.member
		if m.Name != name && (m.Want == want || m.Digest == want) && t.live(r, now) {
			found = append(found, m)
		}
	}
	return nearest(self.member, found, limit)
}
