package membership

import (
	"sort"
	"time"

	"almondreel.example/almondreel/internal/gateway"
	"almondreel.example/almondreel/internal/instances"
)

// Changes returns the changes since sequence number after that other gateways need: the
// members that changed, the names of those whose direct heartbeats stopped, and
// the current sequence number. Both lists are sorted by name.
func (t *Table) Changes(after uint64) (members []gateway.Member, silent []string, sequence uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, r := range t.records {
		switch {
		case r.lastDirectAt.IsZero() || r.changeSequence <= after:
		case r.directSilent:
			silent = append(silent, name)
		default:
			members = append(members, r.member)
		}
	}
	sort.Slice(members, func(i, j int) bool { return members[i].Name < members[j].Name })
	sort.Strings(silent)
	return members, silent, t.sequence
}

// RecordReport records a report of the gateway called from: the members that send
// heartbeats to it, and the names of those whose heartbeats to it stopped. complete
// means that members is the full list, not only the changes.
func (t *Table) RecordReport(from string, members []gateway.Member, silent []string, complete bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if complete {
		for _, r := range t.records {
			delete(r.reporters, from)
		}
	}
	for _, m := range members {
		r := t.recordFor(m, now)
		if r.member.Started != m.Started {
			continue // report about an earlier run
		}
		if !atLeastAsNew(r.member, m) {
			r.member = m
		}
		r.reporters[from] = true
		r.reportedSilent = false
		t.updateState(r, now)
	}
	for _, name := range silent {
		t.recordSilent(from, name)
	}
	if len(members)+len(silent) > 0 {
		t.notify()
	}
}

func (t *Table) recordSilent(from, name string) {
	r, ok := t.records[name]
	if !ok {
		return
	}
	delete(r.reporters, from)
	if t.gateways[from].peer.DataCentre == r.member.DataCentre {
		r.reportedSilent = true
	}
}

// RecordLeavingReport records which instances are leaving according to the platform's
// list, as read by the gateway called from. It replaces that gateway's previous report.
func (t *Table) RecordLeavingReport(from string, names []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.reportedLeaving, from)
	if len(names) == 0 {
		return
	}
	t.reportedLeaving[from] = map[string]bool{}
	for _, name := range names {
		t.reportedLeaving[from][name] = true
	}
}

// ListedLeaving returns the sorted names of the instances that the platform's list
// shows as leaving, or nil if the list is older than listMaxAge.
func (t *Table) ListedLeaving(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.listedAt) > listMaxAge {
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

// RecordGateway records that another gateway was seen at the given time.
func (t *Table) RecordGateway(p gateway.Peer, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.gateways[p.Name] = gatewayRecord{peer: p, lastSeen: at}
}

// RecordListing replaces the platform's list and removes gateways that it does not
// include and that were not seen for expireAfter.
func (t *Table) RecordListing(l instances.List, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listed = map[string]instances.Instance{}
	t.listedAt = at
	listedGateways := map[string]bool{}
	for _, i := range l.Instances {
		t.listed[i.Name] = i
		listedGateways[i.Name] = i.Role == instances.RoleGateway
	}
	for name, g := range t.gateways {
		if !listedGateways[name] && at.Sub(g.lastSeen) > expireAfter {
			delete(t.gateways, name)
			delete(t.reportedLeaving, name)
		}
	}
}

// Gateways returns the gateways other than self that were seen recently or that the
// platform lists, sorted by name.
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
		if t.gatewayAlive(name, now) {
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

// LiveGateways returns the gateways other than self that were seen recently, sorted by
// name.
func (t *Table) LiveGateways(self string, now time.Time) []gateway.Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []gateway.Peer
	for name, g := range t.gateways {
		if name != self && t.gatewayAlive(name, now) {
			out = append(out, g.peer)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Connected reports whether self has recently seen at least half of all known
// gateways; self counts as seen.
func (t *Table) Connected(self string, now time.Time) bool {
	known, alive := 1, 1
	for _, p := range t.otherGateways(self) {
		known++
		if t.gatewayReachable(p, now) {
			alive++
		}
	}
	return 2*alive >= known
}

// otherGateways returns the names of the gateways other than self that the platform
// lists or that were ever seen.
func (t *Table) otherGateways(self string) []string {
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
	for name, isGateway := range found {
		if isGateway {
			out = append(out, name)
		}
	}
	return out
}

// gatewayReachable is gatewayAlive for callers that do not hold mu.
func (t *Table) gatewayReachable(name string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.gatewayAlive(name, now)
}

// Peers returns up to limit routable members that fetch or serve the version that
// the member called name wants. It prefers members that are near to that member.
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
		if m.Name != name && (m.Want == want || m.Digest == want) && t.routable(r, now) {
			found = append(found, m)
		}
	}
	return nearest(self.member, found, limit)
}
