package dispatch

import (
	"context"
	"math/rand/v2"
	"time"

	"almondreel.example/almondreel/internal/attempt"
	"almondreel.example/almondreel/internal/counter"
	"almondreel.example/almondreel/internal/event"
	"almondreel.example/almondreel/internal/gateway"
	"almondreel.example/almondreel/internal/outcome"
	"almondreel.example/almondreel/internal/route"
	"almondreel.example/almondreel/pkg/quarantine"
)

const (
	suspicionLasts  = time.Minute
	convictionLasts = time.Hour
	tellTimeout     = 250 * time.Millisecond
	suspectPause    = 20 * time.Millisecond
	newsPause       = 200 * time.Millisecond
	busyPause       = 10 * time.Millisecond
	deathPause      = 100 * time.Millisecond
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
			m, ok := f.dispatcher.router.Pick(members, f.want())
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

// want keeps a request that was never seen to complete on few agents.
func (f *flight) want() route.Want {
	w := route.Want{Affinity: f.request.Affinity(), Exclude: f.tried}
	if !f.dispatcher.options.Quarantine.Vouched(f.request.Fingerprint, time.Now()) {
		w.Novelty = f.request.Fingerprint
		if len(f.tried) > 0 {
			w.Affinity = f.request.Fingerprint // where its suspects go, too
		}
	}
	return w
}

// enter takes an agent that runs no suspect: the first for the prompt, then by
// the fingerprint's rank. All gateways rank alike, so a suspect's repeats meet.
func (f *flight) enter(members []gateway.Member) (gateway.Member, bool) {
	ranked := append([]gateway.Member(nil), members...)
	route.Rank(ranked, f.request.Affinity())
	if len(ranked) > 1 {
		route.Rank(ranked[1:], f.request.Fingerprint)
	}
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

// awaitNews holds a request that was never seen to complete back from its next
// agent when one is gone: if its own repeat killed that one, the news of it is
// on the way.
func (f *flight) awaitNews(ctx context.Context, reason outcome.Reason) {
	novel := f.want().Novelty != ""
	switch reason {
	case outcome.BackendUnreachable, outcome.ReplicaUnreachable:
		if novel {
			f.wait(ctx, newsPause)
		}
		f.dispatcher.gone.Add(f.lastTried, time.Now())
	case outcome.ReplicaBusy:
		if novel {
			f.wait(ctx, busyPause)
		}
	}
}

// wait waits for d to 2d, or until ctx ends.
func (f *flight) wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d + rand.N(d))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// diedOn records that an agent's backend server died while it ran the request.
func (f *flight) diedOn(b attempt.Broken, m gateway.Member, suspect bool) {
	if !b.Died {
		return
	}
	now := time.Now()
	table := f.dispatcher.options.Quarantine
	verdict := table.Died(f.request.Fingerprint, m.Name, suspect, now.Add(suspicionLasts))
	counter.Add("BackendDeaths", 1)
	event.Fail(event.BackendDied, b.Cause, "Request", f.request.ID, "Peer", m.Name)
	if verdict == quarantine.Convicted {
		table.Adopt([]quarantine.Entry{{Fingerprint: f.request.Fingerprint, Server: m.Name, Convicted: true, ExpiresAt: now.Add(convictionLasts)}})
		event.Log(event.RequestConvicted, "Request", f.request.ID, "Organisation", f.request.Organisation, "Class", f.request.Class.Name)
		counter.Add("Convicted", 1)
	}
}

// convicted tells the other gateways of a death before anything else happens
// to the request, leaves them time to tell of theirs, and reports whether it
// must not run again.
func (f *flight) convicted(ctx context.Context, b attempt.Broken) bool {
	table := f.dispatcher.options.Quarantine
	e, ok := table.Find(f.request.Fingerprint, time.Now())
	if b.Died && ok && f.dispatcher.options.Suspected != nil {
		tell, cancel := context.WithTimeout(context.WithoutCancel(ctx), tellTimeout)
		defer cancel()
		f.dispatcher.options.Suspected(tell, e)
		f.wait(ctx, deathPause)
		e, ok = table.Find(f.request.Fingerprint, time.Now())
	}
	return ok && e.Convicted
}
