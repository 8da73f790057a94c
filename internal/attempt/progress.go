package attempt

import (
	"context"
	"time"

	"almondreel.example/almondreel/internal/operator"
	"almondreel.example/almondreel/internal/silence"
)

const (
	minProgressTimeout         = time.Second
	firstTokenTimeoutFactor    = 3  // multiple of the class's first-token target
	betweenTokensTimeoutFactor = 40 // multiple of the class's between-tokens target
)

// progressTimer reports that an attempt makes no progress. Its zero value never does.
type progressTimer struct {
	deadline func() time.Time // of the next token, if one came now
	timer    *silence.Timer   // nil: reports nothing
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
	onSilence := func(since time.Time) {
		if a.Progress.Finished {
			cancel()
			return
		}
		a.OnSilence(since)
	}
	p := &progressTimer{deadline: func() time.Time { return time.Now().Add(between) }, timer: &silence.Timer{OnSilence: onSilence}}
	p.timer.Start(time.Now().Add(first), silence.Always)
	return p
}

// hold ends the checks until reset. None is in progress when it returns.
func (p *progressTimer) hold() {
	if p.timer != nil {
		p.timer.Stop()
	}
}

// reset starts the checks for the next token.
func (p *progressTimer) reset() {
	if p.timer != nil {
		p.timer.Start(p.deadline(), silence.Always)
	}
}
