package attempt

import (
	"context"
	"sync"
	"time"

	"almondreel.example/almondreel/internal/counter"
	"almondreel.example/almondreel/internal/operator"
)

const (
	minProgressTimeout         = time.Second
	firstTokenTimeoutFactor    = 3  // multiple of the class's first-token target
	betweenTokensTimeoutFactor = 40 // multiple of the class's between-tokens target
	// silenceCheckInterval is the time between checks of an attempt without progress.
	silenceCheckInterval = 100 * time.Millisecond
	// maxCheckDelay is the delay of a check from which the gateway itself has paused. The
	// agent may have sent tokens that it has not read.
	maxCheckDelay = silenceCheckInterval
)

// progressTimer calls onSilence while an attempt makes no progress. Its zero value never
// does.
type progressTimer struct {
	deadline  func() time.Time // of the next token, if one came now
	onSilence func(since time.Time)

	mu      sync.Mutex
	timer   *time.Timer // nil: never calls onSilence
	since   time.Time   // of the last progress
	checkAt time.Time
	halted  bool // no checks until the next reset
}

// startProgressTimer starts the timer for the first token of an idempotent completion.
// Other requests get a timer that never calls OnSilence. An answer that lacks only its end
// marker is whole, and its attempt is cancelled.
func (a *Attempt) startProgressTimer(cancel context.CancelFunc) *progressTimer {
	target := a.Request.Class.Target
	if a.Request.Class.Kind != operator.Model || !a.Request.Class.Idempotent {
		return &progressTimer{}
	}
	first := max(minProgressTimeout, time.Duration(firstTokenTimeoutFactor*target.FirstTokenMilliseconds)*time.Millisecond)
	between := max(minProgressTimeout, time.Duration(betweenTokensTimeoutFactor*target.BetweenTokensMilliseconds)*time.Millisecond)
	now := time.Now()
	deadline := func() time.Time { return time.Now().Add(between) }
	p := &progressTimer{deadline: deadline, since: now, checkAt: now.Add(first)}
	p.onSilence = func(since time.Time) {
		if a.Progress.Finished {
			cancel()
			return
		}
		a.OnSilence(since)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.timer = time.AfterFunc(first, p.check)
	return p
}

func (p *progressTimer) check() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	switch {
	case p.halted:
		return
	case now.Before(p.checkAt):
		p.timer.Reset(p.checkAt.Sub(now))
		return
	case now.Sub(p.checkAt) > maxCheckDelay:
		counter.Add("StallChecksLate", 1)
	default:
		p.onSilence(p.since)
	}
	p.checkAt = time.Now().Add(silenceCheckInterval)
	p.timer.Reset(silenceCheckInterval)
}

// hold ends the checks until reset. None is in progress when it returns.
func (p *progressTimer) hold() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.halted = true
	if p.timer != nil {
		p.timer.Stop()
	}
}

// reset starts the checks for the next token.
func (p *progressTimer) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.halted = false
	p.since = time.Now()
	if p.timer != nil {
		p.checkAt = p.deadline()
		p.timer.Reset(time.Until(p.checkAt))
	}
}

// stop ends the checks. None is in progress when it returns.
func (p *progressTimer) stop() { p.hold() }
