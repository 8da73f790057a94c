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
	suspicionTTL     = time.Minute            // of a fingerprint that ran when a backend server died
	quarantineTTL    = time.Hour              // of a quarantined fingerprint
	reportTimeout    = 250 * time.Millisecond // of a report to the other gateways
	provenAnswerTime = 250 * time.Millisecond // for which an answer goes on if its backend server survives it
	suspectDelay     = 20 * time.Millisecond  // between a suspect's attempts to reserve an agent
	unreachableDelay = 200 * time.Millisecond // before the retry of an unproven request after an unreachable agent
	busyDelay        = 10 * time.Millisecond  // before the retry of an unproven request after a busy agent
	deathReportDelay = 100 * time.Millisecond // wait for other gateways' reports of deaths
)

// verdict returns the verdict on the request, which is refused if it or a part of its
// prompt is quarantined.
func (f *inflight) verdict() quarantine.Verdict {
	now := time.Now()
	if _, ok := f.dispatcher.options.Parts.Quarantined(f.parts, now); ok {
		return quarantine.Quarantined
	}
	return f.dispatcher.options.Quarantine.Verdict(f.request.Fingerprint, now)
}

// chooseAgent returns the agent for the next attempt, whether the request runs
// there as a suspect, and whether there is an agent. The caller must call Finish
// on the router and, for a suspect, EndSuspect on the quarantine table.
func (f *inflight) chooseAgent(ctx context.Context) (gateway.Member, bool, bool) {
	table := f.dispatcher.options.Quarantine
	for {
		changed := table.Changed()
		members := f.members(time.Now())
		switch f.verdict() {
		case quarantine.Quarantined:
			f.lastReason = outcome.Quarantined
			return gateway.Member{}, false, false
		case quarantine.Clear:
			m, ok := f.dispatcher.router.Pick(members, f.criteria(f.tried))
			return m, false, ok
		}
		m, ok := f.reserveForSuspect(f.serving(time.Now()), members)
		if ok {
			f.dispatcher.router.Start(m)
			return m, true, true
		}
		if !f.waitForChange(ctx, changed, members) {
			return gateway.Member{}, false, false
		}
	}
}

// criteria returns what the next agent must satisfy that is not one of those tried. A
// request whose fingerprint has not completed lately is confined to few agents, so that
// few backend servers die if it crashes them.
func (f *inflight) criteria(tried map[string]bool) route.Criteria {
	c := route.Criteria{Affinity: f.request.Affinity(), Exclude: tried}
	if !f.dispatcher.options.Quarantine.RecentlyCompleted(f.request.Fingerprint, time.Now()) {
		c.UnprovenFingerprint = f.request.Fingerprint
		if len(tried) > 0 {
			c.Affinity = f.request.Fingerprint // as in reserveForSuspect
		}
	}
	return c
}

// reserveForSuspect reserves an untried and reachable agent that runs no suspect. It
// tries the first agent by the prompt's rank, then the others by the fingerprint's rank.
// Gateways find different agents unreachable. All compute the ranks of all agents, so
// that repeats of a suspect use the same ones.
func (f *inflight) reserveForSuspect(serving, reachable []gateway.Member) (gateway.Member, bool) {
	names := map[string]bool{}
	for _, m := range reachable {
		names[m.Name] = true
	}
	ranked := append([]gateway.Member(nil), serving...)
	route.Rank(ranked, f.request.Affinity())
	if len(ranked) > 1 {
		route.Rank(ranked[1:], f.request.Fingerprint)
	}
	for _, m := range ranked {
		if names[m.Name] && !f.tried[m.Name] && f.dispatcher.options.Quarantine.StartSuspect(f.request.Fingerprint, m.Name) {
			return m, true
		}
	}
	return gateway.Member{}, false
}

// waitForChange waits until the quarantine table changes or suspectDelay has
// passed. It reports false if ctx ends or no agent is untried.
func (f *inflight) waitForChange(ctx context.Context, changed <-chan struct{}, members []gateway.Member) bool {
	untried := 0
	for _, m := range members {
		if !f.tried[m.Name] {
			untried++
		}
	}
	if untried == 0 {
		return false
	}
	timer := time.NewTimer(suspectDelay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-changed:
	case <-timer.C:
	}
	return true
}

// delayAfterNotRun delays the retry of an unproven request after an unreachable
// or busy agent. If a repeat of the request crashed the backend server there,
// the report of that death arrives during the delay. An unreachable agent is
// also left out of the following choices.
func (f *inflight) delayAfterNotRun(ctx context.Context, reason outcome.Reason) {
	unproven := f.criteria(f.tried).UnprovenFingerprint != ""
	switch reason {
	case outcome.BackendUnreachable, outcome.ReplicaUnreachable:
		if unproven {
			f.waitJittered(ctx, unreachableDelay)
		}
		f.dispatcher.unreachable.Add(f.last.Member.Name, time.Now())
	case outcome.ReplicaBusy:
		if unproven {
			f.waitJittered(ctx, busyDelay)
		}
	}
}

// waitJittered waits for a random time between d and 2d, or until ctx ends.
func (f *inflight) waitJittered(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d + rand.N(d))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// recordDeath records the death of a backend server, or its agent, that ran the
// request. The request becomes a suspect. It is quarantined if it ran as a suspect,
// or if another backend server died while running the same fingerprint and the
// fingerprint has not completed lately.
func (f *inflight) recordDeath(attempted *run, r attempt.Interrupted) {
	if !r.Died {
		return
	}
	now := time.Now()
	table := f.dispatcher.options.Quarantine
	verdict := table.RecordCrash(f.request.Fingerprint, attempted.Member.Name, attempted.Suspect, now.Add(suspicionTTL))
	counter.Add("BackendDeaths", 1)
	event.Fail(event.BackendDied, r.Cause, "Request", f.request.ID, "Peer", attempted.Member.Name)
	if verdict == quarantine.Quarantined {
		table.Merge([]quarantine.Entry{{Fingerprint: f.request.Fingerprint, Server: attempted.Member.Name, Convicted: true, ExpiresAt: now.Add(quarantineTTL)}})
		event.Log(event.RequestQuarantined, "Request", f.request.ID, "Organisation", f.request.Organisation, "Class", f.request.Class.Name)
		counter.Add("Convicted", 1)
	}
}

// recordPartCrash records the death of a backend server that had not answered the request
// for provenAnswerTime against the parts of its prompt. Other gateways are told first,
// and tell when they last answered requests with these parts.
func (f *inflight) recordPartCrash(ctx context.Context, attempted *run, r attempt.Interrupted) {
	now := time.Now()
	survived := attempted.Progress.Tokens > attempted.tokensBefore && now.Sub(attempted.startedAt) >= provenAnswerTime
	if !r.Died || survived || len(f.parts) == 0 {
		return
	}
	options := f.dispatcher.options
	crash := quarantine.PartCrash{Server: attempted.Member.Name, Request: f.request.Fingerprint, Parts: f.parts, At: now}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), reportTimeout)
	defer cancel()
	options.ReportCrash(ctx, crash)
	part, ok := options.Parts.RecordCrash(crash, time.Now())
	if !ok {
		return
	}
	counter.Add("PartsQuarantined", 1)
	event.Log(event.PartQuarantined, "Request", f.request.ID, "Organisation", f.request.Organisation, "Class", f.request.Class.Name, "Part", part)
	if e, ok := options.Quarantine.Find(quarantine.PartFingerprint(part), time.Now()); ok {
		options.ReportSuspect(ctx, e)
	}
}

// syncQuarantine reports the death of a backend server to the other gateways
// before the request is retried or ended, and waits for their reports.
func (f *inflight) syncQuarantine(ctx context.Context, attempted *run, r attempt.Interrupted) {
	f.recordPartCrash(ctx, attempted, r)
	table := f.dispatcher.options.Quarantine
	e, ok := table.Find(f.request.Fingerprint, time.Now())
	if r.Died && ok {
		reportCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), reportTimeout)
		defer cancel()
		f.dispatcher.options.ReportSuspect(reportCtx, e)
		f.waitJittered(ctx, deathReportDelay)
	}
}
