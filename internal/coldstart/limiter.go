package coldstart

import (
	"slices"
	"strings"
	"time"
)

// Limiter limits one gateway's requests to cold engines. It is not safe for concurrent use.
type Limiter struct {
	options  Options
	gateways Gateways
	engines  map[string]*Engine
	counts   Counts
}

// Counts are numbers of requests.
type Counts struct {
	Sends    int64 // to cold engines
	Deferred int64 // that a cold engine with a free slot did not get because of its rate
}

// NewLimiter returns a limiter without engines. It sends nothing to cold engines before
// SetGateways is called.
func NewLimiter(o Options) *Limiter { return &Limiter{options: o, engines: map[string]*Engine{}} }

// Engine is the state of an engine, cold or not.
type Engine struct {
	limiter     *Limiter
	id          string
	perSecond   float64 // that it accepts while it is cold; 0: any number
	listedUntil time.Time
	statedUntil time.Time // by its responses
	recent      sendCount

	limited  bool // share, tokens and filledAt are valid
	share    share
	next     share // replaces share at raiseAt
	raiseAt  time.Time
	tokens   float64 // requests that may be sent at filledAt
	filledAt time.Time
}

// raiseDelay is the time from a change of the gateways until a larger share is used. By then
// the gateways that have to reduce theirs have learned of the change, which takes up to
// 400 ms within and 800 ms between regions, and span has passed.
const raiseDelay = 2 * time.Second

// SetGateways sets the gateways that share the rates.
func (l *Limiter) SetGateways(now time.Time, g Gateways) {
	if g.equal(l.gateways) {
		return
	}
	// The others have learned of this gateway by the time when it is settled.
	settles := g.Settled && !l.gateways.Settled || l.gateways.Own == ""
	l.gateways = g
	for _, e := range l.engines {
		e.setShare(now, settles)
	}
}

// Update sets until when an engine is listed as cold, and the rate that it accepts until
// then. It returns nil if cold engines are not limited.
func (l *Limiter) Update(now time.Time, id string, perSecond float64, until time.Time) *Engine {
	if !l.options.Enabled() {
		return nil
	}
	e, ok := l.engines[id]
	if !ok {
		e = &Engine{limiter: l, id: id, perSecond: perSecond}
		l.engines[id] = e
	}
	e.advance(now)
	e.listedUntil = until
	if e.perSecond != perSecond {
		e.perSecond = perSecond
		e.setShare(now, false)
	}
	return e
}

// Prune removes engines that are not listed any more and that received no request lately. An
// engine may be listed again soon.
func (l *Limiter) Prune(now time.Time, listed map[string]bool) {
	for id, e := range l.engines {
		if !listed[id] && !e.Cold(now) && e.recent.at(now) == 0 {
			delete(l.engines, id)
		}
	}
}

// CountDeferred counts a request that was not sent to a cold engine because of its rate.
func (l *Limiter) CountDeferred() { l.counts.Deferred++ }

// TakeCounts returns the counts since the last call.
func (l *Limiter) TakeCounts() Counts {
	counts := l.counts
	l.counts = Counts{}
	return counts
}

// Extend records that the engine stated in a response until when it is cold.
func (e *Engine) Extend(now, until time.Time) {
	e.advance(now)
	e.statedUntil = until
}

// Until returns the time until which the engine is cold.
func (e *Engine) Until() time.Time {
	if e.statedUntil.After(e.listedUntil) {
		return e.statedUntil
	}
	return e.listedUntil
}

// PerSecond returns the rate that the engine accepts while it is cold.
func (e *Engine) PerSecond() float64 { return e.perSecond }

// Cold reports whether the engine is cold and accepts a limited rate.
func (e *Engine) Cold(now time.Time) bool { return e.perSecond > 0 && now.Before(e.Until()) }

// MaySend reports whether this gateway sends requests to the engine, now or later while it is
// cold.
func (e *Engine) MaySend(now time.Time) bool {
	e.advance(now)
	return !e.limited || e.share.requests > 0
}

// SendAt returns the earliest time at which the engine may get a request; zero: at once.
func (e *Engine) SendAt(now time.Time) time.Time {
	e.advance(now)
	if !e.limited {
		return time.Time{}
	}
	var at time.Time
	const roundingError = 1e-9
	switch {
	case e.share.requests == 0:
		return e.Until()
	case e.tokens < 1-roundingError:
		at = now.Add(duration((1 - e.tokens) / e.share.perSecond))
	}
	if from := e.limiter.gateways.SendFrom; from.After(now) && from.After(at) {
		at = from
	}
	if at.After(e.Until()) {
		return e.Until()
	}
	return at
}

// CountSend counts a request that is sent to the engine, and returns the time by which it
// must be on its way; zero: any time.
func (e *Engine) CountSend(now time.Time) time.Time {
	e.advance(now)
	e.recent.add(now)
	if !e.limited {
		return time.Time{}
	}
	e.tokens--
	e.limiter.counts.Sends++
	return now.Add(SendTimeout)
}

// ReturnSend takes back a request that was counted but is not sent.
func (e *Engine) ReturnSend(now time.Time) {
	e.advance(now)
	if e.limited {
		e.tokens = min(e.share.burst, e.tokens+1)
	}
}

// ShareRate returns the requests per second that this gateway may send to the engine, and
// false if they are not limited.
func (e *Engine) ShareRate(now time.Time) (float64, bool) {
	e.advance(now)
	return e.share.perSecond, e.limited
}

// advance brings the bucket to the time now.
func (e *Engine) advance(now time.Time) {
	if !e.Cold(now) {
		e.limited = false
		return
	}
	if !e.limited {
		e.limit(now)
		return
	}
	if elapsed := now.Sub(e.filledAt); elapsed > 0 {
		e.tokens = min(e.share.burst, e.tokens+elapsed.Seconds()*e.share.perSecond)
		e.filledAt = now
	}
	if !e.raiseAt.IsZero() && !now.Before(e.raiseAt) {
		e.share, e.raiseAt = e.next, time.Time{}
	}
}

// limit begins to limit an engine that has become cold. Requests that it got just before
// count, but delay the next one by no more than span.
func (e *Engine) limit(now time.Time) {
	e.limited, e.filledAt, e.raiseAt = true, now, time.Time{}
	e.share = e.limiter.options.shareOf(e.id, e.perSecond, e.limiter.gateways)
	e.tokens = max(e.share.burst-float64(e.recent.at(now)), 1-e.share.perSecond*span.Seconds())
}

// setShare computes the share again. A smaller one applies at once, a larger one only if
// atOnce is set, else after raiseDelay.
func (e *Engine) setShare(now time.Time, atOnce bool) {
	e.advance(now)
	if !e.limited {
		return
	}
	s := e.limiter.options.shareOf(e.id, e.perSecond, e.limiter.gateways)
	switch {
	case atOnce || s.requests <= e.share.requests:
		e.share, e.raiseAt = s, time.Time{}
		e.tokens = min(e.tokens, s.burst)
	case e.raiseAt.IsZero() || s != e.next:
		e.next, e.raiseAt = s, now.Add(raiseDelay)
	}
}

// sendCount counts the requests of the last span. It counts too many rather than too few: up
// to those of the last two spans.
type sendCount struct {
	openedAt          time.Time
	previous, current int
}

func (c *sendCount) add(now time.Time) {
	_ = c.at(now)
	c.current++
}

func (c *sendCount) at(now time.Time) int {
	switch elapsed := now.Sub(c.openedAt); {
	case elapsed >= 2*span:
		c.openedAt, c.previous, c.current = now, 0, 0
	case elapsed >= span:
		c.openedAt, c.previous, c.current = c.openedAt.Add(span), c.current, 0
	}
	return c.previous + c.current
}

// ColdEngine is an engine that is cold.
type ColdEngine struct {
	ID        string
	PerSecond float64 // that it accepts from all gateways
	Until     time.Time
}

// Cold returns the engines that are cold, sorted by ID.
func (l *Limiter) Cold(now time.Time) []ColdEngine {
	var out []ColdEngine
	for id, e := range l.engines {
		if e.Cold(now) {
			out = append(out, ColdEngine{id, e.perSecond, e.Until()})
		}
	}
	slices.SortFunc(out, func(a, b ColdEngine) int { return strings.Compare(a.ID, b.ID) })
	return out
}
