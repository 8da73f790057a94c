package membership

import (
	"time"

	"almondreel.example/almondreel/charts"
	"almondreel.example/almondreel/internal/counter"
	"almondreel.example/almondreel/internal/event"
)

const (
	// exchangeFanout is the number of gateways that each gateway asks a second.
	exchangeFanout = 3
	// gatewaySlack is the silence of a gateway, beyond the time in which it is
	// asked once, after which its word no longer counts.
	gatewaySlack = 3 * time.Second
	// expireAfter is the silence after which a member that the platform does
	// not list as live is forgotten.
	expireAfter = 60 * time.Second
	// leavingExpireAfter is the same for a member that said it is leaving.
	leavingExpireAfter = 10 * time.Second
	// listFresh is the age up to which the platform's list counts as a source.
	listFresh = 2 * time.Minute
	// settleAfter is the time after its start in which a gateway has not yet
	// heard everyone.
	settleAfter = 30 * time.Second
)

// contact is the time within which each other gateway has been asked once.
func (t *Table) contact() time.Duration {
	rounds := (len(t.gateways) + exchangeFanout - 1) / exchangeFanout
	return time.Duration(max(1, rounds)) * time.Second
}

func (t *Table) gatewayHeard(name string, now time.Time) bool {
	g, ok := t.gateways[name]
	return ok && now.Sub(g.heardAt) < t.contact()+gatewaySlack
}

func (t *Table) heardByOthers(r *record, now time.Time) bool {
	for name := range r.via {
		if t.gatewayHeard(name, now) {
			return true
		}
	}
	return false
}

// evidence is the last moment at which any source heard the member.
func (t *Table) evidence(r *record) time.Time {
	last := r.directAt
	for name := range r.via {
		if at := t.gateways[name].heardAt; at.After(last) {
			last = at
		}
	}
	if last.IsZero() {
		return r.firstAt
	}
	return last
}

// dead reports whether every source is silent for another reason than a cut.
func (t *Table) dead(r *record, now time.Time) bool {
	last := t.evidence(r)
	if now.Sub(last) < silentAfter || t.heardByOthers(r, now) {
		return false
	}
	if t.unlisted(r, now) || r.toldSilent {
		return true
	}
	return t.dataCentreHeard(r.member.DataCentre).Sub(last) >= t.contact()+silentAfter/2
}

// unlisted reports whether a fresh list of the platform lacks the member. A
// list that is empty or not older than the member's first heartbeat proves nothing.
func (t *Table) unlisted(r *record, now time.Time) bool {
	if len(t.listed) == 0 || now.Sub(t.listedAt) > listFresh || !t.listedAt.After(t.evidence(r)) {
		return false
	}
	_, ok := t.listed[r.member.Name]
	return !ok
}

// Gone reports whether the instance called name, of which nothing may be known
// yet, is certainly not there: dead, or not listed, or listed in a data centre
// that is heard while the instance is not.
func (t *Table) Gone(name string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, ok := t.records[name]; ok {
		return t.dead(r, now)
	}
	if len(t.listed) == 0 || now.Sub(t.listedAt) > listFresh || now.Sub(t.startAt) < settleAfter {
		return false
	}
	i, ok := t.listed[name]
	return !ok || now.Sub(t.dataCentreHeard(i.DataCentre)) < silentAfter
}

// dataCentreHeard is the last moment at which anything in the data centre was heard.
func (t *Table) dataCentreHeard(dataCentre string) time.Time {
	var last time.Time
	for _, r := range t.records {
		if at := t.evidence(r); r.member.DataCentre == dataCentre && at.After(last) {
			last = at
		}
	}
	for _, g := range t.gateways {
		if g.peer.DataCentre == dataCentre && g.heardAt.After(last) {
			last = g.heardAt
		}
	}
	return last
}

// Sweep moves each member's state chart to what the sources say at now and
// forgets the lost ones. Call it every second.
func (t *Table) Sweep(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, r := range t.records {
		if !r.directAt.IsZero() && !r.isSilent && now.Sub(r.directAt) >= silentAfter {
			r.isSilent = true
			t.changed(r)
		}
		t.step(r, now)
		if r.machine.Done() {
			delete(t.records, name)
		}
	}
	t.watchDataCentres(now)
	counter.Set("Members", int64(len(t.records)))
}

// step fires the events that lead to the state that the sources show.
func (t *Table) step(r *record, now time.Time) {
	live, leaving := t.live(r, now), t.leaving(r)
	switch state := r.machine.State(); {
	case state == Joining && leaving, state == Live && leaving, state == Suspected && leaving:
		t.fire(r, "Leave", event.MemberLeaving)
	case state == Joining && live:
		t.fire(r, "Heard", event.MemberJoined)
	case state == Suspected && live:
		t.fire(r, "Heard", event.MemberJoined)
	case state == Live && !live:
		t.fire(r, "Silent", event.MemberSuspected)
	case state == Suspected && t.expired(r, now, expireAfter):
		t.fire(r, "Expire", event.MemberLost)
	case state == Leaving && !leaving && live:
		r.machine = charts.Start(memberChart)
	case state == Leaving && t.expired(r, now, leavingExpireAfter):
		t.fire(r, "Expire", event.MemberLost)
	}
}

func (t *Table) fire(r *record, name string, n event.Number) {
	charts.Fire(r.machine, name)
	event.Log(n, "Instance", r.member.Name, "DataCentre", r.member.DataCentre)
}

func (t *Table) expired(r *record, now time.Time, after time.Duration) bool {
	if now.Sub(t.evidence(r)) < after {
		return false
	}
	if _, ok := t.listed[r.member.Name]; ok && now.Sub(t.listedAt) < listFresh {
		return false
	}
	return t.dead(r, now) || r.machine.State() == Leaving
}

// watchDataCentres logs a data centre that has fallen wholly silent.
func (t *Table) watchDataCentres(now time.Time) {
	heard := map[string]bool{}
	for _, r := range t.records {
		d := r.member.DataCentre
		if _, done := heard[d]; !done {
			heard[d] = now.Sub(t.dataCentreHeard(d)) < t.contact()+gatewaySlack
		}
	}
	for dataCentre, is := range heard {
		if !is && !t.silent[dataCentre] {
			event.Log(event.DataCentreSilent, "DataCentre", dataCentre)
			counter.Add("DataCentreSilent", 1)
		}
		t.silent[dataCentre] = !is
	}
}
