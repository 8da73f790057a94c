package membership

import (
	"time"

	"almondreel.example/almondreel/charts"
	"almondreel.example/almondreel/internal/counter"
	"almondreel.example/almondreel/internal/event"
)

const (
	// exchangeFanout is the number of gateways that each gateway queries per second.
	exchangeFanout = 3
	// gatewayGrace is the time beyond exchangeCycle after which the reports of a
	// gateway that was not seen no longer count.
	gatewayGrace = 3 * time.Second
	// expireAfter is the time after which a member that was not seen is removed,
	// unless a recent list of the platform includes it.
	expireAfter = 60 * time.Second
	// leavingExpireAfter is the same for a member that is leaving.
	leavingExpireAfter = 10 * time.Second
	// listMaxAge is the age up to which the platform's list is used.
	listMaxAge = 2 * time.Minute
	// startupGrace is the time after the start of a gateway in which it may not have
	// heard from every member yet.
	startupGrace = 30 * time.Second
)

// exchangeCycle returns the time within which this gateway queries every other
// gateway once.
func (t *Table) exchangeCycle() time.Duration {
	rounds := (len(t.gateways) + exchangeFanout - 1) / exchangeFanout
	return time.Duration(max(1, rounds)) * time.Second
}

// gatewayAlive reports whether the gateway was seen recently. Callers hold mu.
func (t *Table) gatewayAlive(name string, now time.Time) bool {
	g, ok := t.gateways[name]
	return ok && now.Sub(g.lastSeen) < t.exchangeCycle()+gatewayGrace
}

func (t *Table) seenByOtherGateways(r *record, now time.Time) bool {
	for name := range r.reporters {
		if t.gatewayAlive(name, now) {
			return true
		}
	}
	return false
}

// lastSeen returns the last time at which any source saw the member, or the time at
// which its record was created if none did.
func (t *Table) lastSeen(r *record) time.Time {
	last := r.lastDirectAt
	for name := range r.reporters {
		if at := t.gateways[name].lastSeen; at.After(last) {
			last = at
		}
	}
	if last.IsZero() {
		return r.firstSeen
	}
	return last
}

// dead reports whether no source sees the member although its data centre is not
// partitioned from this gateway.
func (t *Table) dead(r *record, now time.Time) bool {
	last := t.lastSeen(r)
	if now.Sub(last) < silentAfter || t.seenByOtherGateways(r, now) {
		return false
	}
	if t.unlisted(r, now) || r.reportedSilent {
		return true
	}
	return t.dataCentreLastSeen(r.member.DataCentre).Sub(last) >= t.exchangeCycle()+silentAfter/2
}

// unlisted reports whether the platform's list lacks the member. A list that is
// empty, outdated, or read before the member was last seen does not count.
func (t *Table) unlisted(r *record, now time.Time) bool {
	if len(t.listed) == 0 || now.Sub(t.listedAt) > listMaxAge || !t.listedAt.After(t.lastSeen(r)) {
		return false
	}
	_, ok := t.listed[r.member.Name]
	return !ok
}

// Gone reports whether the instance called name has certainly ended. A member has
// ended if it is dead. Any other instance has, once startupGrace is over, if a
// recent list of the platform lacks it or lists it in a data centre in which a member
// or a gateway was seen within silentAfter.
func (t *Table) Gone(name string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, ok := t.records[name]; ok {
		return t.dead(r, now)
	}
	if len(t.listed) == 0 || now.Sub(t.listedAt) > listMaxAge || now.Sub(t.startedAt) < startupGrace {
		return false
	}
	i, ok := t.listed[name]
	return !ok || now.Sub(t.dataCentreLastSeen(i.DataCentre)) < silentAfter
}

// dataCentreLastSeen returns the last time at which any member or gateway in the data
// centre was seen, or the zero time.
func (t *Table) dataCentreLastSeen(dataCentre string) time.Time {
	var last time.Time
	for _, r := range t.records {
		if at := t.lastSeen(r); r.member.DataCentre == dataCentre && at.After(last) {
			last = at
		}
	}
	for _, g := range t.gateways {
		if g.peer.DataCentre == dataCentre && g.lastSeen.After(last) {
			last = g.lastSeen
		}
	}
	return last
}

// Sweep updates the state of each member as of now and removes lost members. It must
// be called every second.
func (t *Table) Sweep(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, r := range t.records {
		if !r.lastDirectAt.IsZero() && !r.directSilent && now.Sub(r.lastDirectAt) >= silentAfter {
			r.directSilent = true
			t.markChanged(r)
		}
		t.updateState(r, now)
		if r.machine.Done() {
			delete(t.records, name)
		}
	}
	t.logSilentDataCentres(now)
	counter.Set("Members", int64(len(t.records)))
}

// updateState applies the state transition, if any, that follows from the sources at now.
func (t *Table) updateState(r *record, now time.Time) {
	routable, leaving := t.routable(r, now), t.leaving(r)
	switch state := r.machine.State(); {
	case state == Joining && leaving, state == Live && leaving, state == Suspected && leaving:
		t.fire(r, "Leave", event.MemberLeaving)
	case state == Joining && routable:
		t.fire(r, "Heard", event.MemberJoined)
	case state == Suspected && routable:
		t.fire(r, "Heard", event.MemberJoined)
	case state == Live && !routable:
		t.fire(r, "Silent", event.MemberSuspected)
	case state == Suspected && t.expired(r, now, expireAfter):
		t.fire(r, "Expire", event.MemberLost)
	case state == Leaving && !leaving && routable:
		r.machine = charts.Start(memberChart)
	case state == Leaving && t.expired(r, now, leavingExpireAfter):
		t.fire(r, "Expire", event.MemberLost)
	}
}

func (t *Table) fire(r *record, transition string, number event.Number) {
	charts.Fire(r.machine, transition)
	event.Log(number, "Instance", r.member.Name, "DataCentre", r.member.DataCentre)
}

// expired reports whether the member was not seen for the given time, is not in a
// recent list of the platform, and is dead or leaving.
func (t *Table) expired(r *record, now time.Time, after time.Duration) bool {
	if now.Sub(t.lastSeen(r)) < after {
		return false
	}
	if _, ok := t.listed[r.member.Name]; ok && now.Sub(t.listedAt) < listMaxAge {
		return false
	}
	return t.dead(r, now) || r.machine.State() == Leaving
}

// logSilentDataCentres logs each data centre in which no member and no gateway is seen
// any more.
func (t *Table) logSilentDataCentres(now time.Time) {
	reachable := map[string]bool{}
	for _, r := range t.records {
		d := r.member.DataCentre
		if _, checked := reachable[d]; !checked {
			reachable[d] = now.Sub(t.dataCentreLastSeen(d)) < t.exchangeCycle()+gatewayGrace
		}
	}
	for dataCentre, isReachable := range reachable {
		if !isReachable && !t.silentDataCentres[dataCentre] {
			event.Log(event.DataCentreUnreachable, "DataCentre", dataCentre)
			counter.Add("DataCentreSilent", 1)
		}
		t.silentDataCentres[dataCentre] = !isReachable
	}
}
