package dispatch

import (
	"context"
	"time"

	"almondreel.example/almondreel/internal/counter"
	"almondreel.example/almondreel/internal/event"
	"almondreel.example/almondreel/internal/gateway"
	"almondreel.example/almondreel/internal/route"
	"almondreel.example/almondreel/pkg/quarantine"
)

const (
	suspicionLasts  = time.Minute
	convictionLasts = time.Hour
	tellTimeout     = 250 * time.Millisecond
	suspectPause    = 20 * time.Millisecond
)

// choose returns the agent for the next attempt, and whether the request runs
// there as a suspect. The caller ends both.
func (f *flight) choose(ctx context.Context) (gateway.Member, bool, bool) {
	table := f.dispatcher.options.Quarantine
	for {
		changed := table.Changed()
		members := f.members(time.Now())
		switch table.Judge(f.request.Fingerprint, time.Now()) {
		case quarantine.Convicted:
			return gateway.Member{}, false, false
		case quarantine.Clear:
			m, ok := f.dispatcher.router.Pick(members, route.Want{Affinity: f.request.affinity(), Exclude: f.tried})
			return m, false, ok
		}
		m, ok := f.enter(members)
		if ok {
			f.dispatcher.router.Took(m)
			return m, true, true
		}
		if !f.pause(ctx, changed, members) {
			return gateway.Member{}, false, false
		}
	}
}

// enter takes the first agent in the fingerprint's rank that runs no suspect.
// All gateways rank alike, so a suspect's repeats meet on one agent.
func (f *flight) enter(members []gateway.Member) (gateway.Member, bool) {
	ranked := append([]gateway.Member(nil), members...)
	route.Rank(ranked, f.request.Fingerprint)
	for _, m := range ranked {
		if !f.tried[m.Name] && f.dispatcher.options.Quarantine.Enter(f.request.Fingerprint, m.Name) {
			return m, true
		}
	}
	return gateway.Member{}, false
}

// pause waits for a change while some agent is left to try.
func (f *flight) pause(ctx context.Context, changed <-chan struct{}, members []gateway.Member) bool {
	left := 0
	for _, m := range members {
		if !f.tried[m.Name] {
			left++
		}
	}
	if left == 0 {
		return false
	}
	timer := time.NewTimer(suspectPause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-changed:
	case <-timer.C:
	}
	return true
}

// diedOn records that an agent's backend server died while it ran the request.
func (f *flight) diedOn(b broken, m gateway.Member, suspect bool) {
	if !b.died {
		return
	}
	now := time.Now()
	table := f.dispatcher.options.Quarantine
	verdict := table.Died(f.request.Fingerprint, m.Name, suspect, now.Add(suspicionLasts))
	counter.Add("BackendDeaths", 1)
	event.Fail(event.BackendDied, b.cause, "Request", f.request.ID, "Peer", m.Name)
	if verdict == quarantine.Convicted {
		table.Adopt([]quarantine.Entry{{Fingerprint: f.request.Fingerprint, Server: m.Name, Convicted: true, ExpiresAt: now.Add(convictionLasts)}})
		event.Log(event.RequestConvicted, "Request", f.request.ID, "Organisation", f.request.Organisation, "Class", f.request.Class.Name)
		counter.Add("Convicted", 1)
	}
}

// convicted tells the other gateways of a death before anything else happens
// to the request, and reports whether it must not run again.
func (f *flight) convicted(ctx context.Context, b broken) bool {
	table := f.dispatcher.options.Quarantine
	e, ok := table.Find(f.request.Fingerprint, time.Now())
	if b.died && ok && f.dispatcher.options.Suspected != nil {
		tell, cancel := context.WithTimeout(context.WithoutCancel(ctx), tellTimeout)
		defer cancel()
		f.dispatcher.options.Suspected(tell, e)
	}
	return ok && e.Convicted
}
