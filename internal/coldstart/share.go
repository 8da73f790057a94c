// Package coldstart limits the requests that gateways send to cold engines. An engine that
// started recently accepts only a few requests per second. Each gateway has a fixed share of
// that rate, so that the sum over all gateways stays within the limit, even if some of them
// cannot reach each other. The package does not read a clock or use the network.
package coldstart

import (
	"math"
	"slices"
	"time"

	"almondreel.example/almondreel/internal/rendezvous"
)

// Options bound the requests that a cold engine may receive from all gateways within any
// second: the rate that it accepts times Overage, plus Tolerance. Cold engines are not
// limited if both are 0.
type Options struct {
	Overage   float64
	Tolerance float64 // requests
}

// Enabled reports whether cold engines are limited.
func (o Options) Enabled() bool { return o.Overage > 0 }

// maxBound keeps the bound within the range of an int. No engine accepts that many requests
// per second.
const maxBound = 1 << 20

// bound returns the number of requests that an engine may receive within a second.
func (o Options) bound(perSecond float64) int {
	const roundingError = 1e-9 // of the product
	return int(min(max(perSecond*o.Overage+o.Tolerance+roundingError, 0), maxBound))
}

const (
	// window is the time to which the bound applies.
	window = time.Second
	// SendTimeout is the time from a decision to send a request to a cold engine until the
	// request must be on its way. Later ones would arrive together with those that a
	// gateway sends after it was suspended.
	SendTimeout = 100 * time.Millisecond
	// delayVariation is the difference between the delays from the decision to send a
	// request until it arrives: SendTimeout, plus 50 ms for the network. Requests that are
	// sent within window plus delayVariation may arrive within window.
	delayVariation = SendTimeout + 50*time.Millisecond
	span           = window + delayVariation
	// minBurst is the time whose requests a bucket holds at least. Queues are looked at
	// every 10 ms, and a bucket that overflows in between wastes a part of its rate.
	minBurst = 20 * time.Millisecond
	// startingGateways is the number of gateways among which a gateway that does not know
	// the others yet divides the bound.
	startingGateways = 32
	// settleDelay is the time from the first contact to another gateway until this one uses
	// its whole share. Lists of gateways are passed on every 400 ms, twice between regions;
	// after 800 ms all gateways have reduced their shares because of this one.
	settleDelay = 1500 * time.Millisecond
	// maxSilentStart is how long a gateway that hears from no other one assumes that
	// startingGateways exist. Addresses in its settings may all be out of date.
	maxSilentStart = 10 * time.Second
)

// Gateways are the gateways that share the rates, as one of them knows them. They are named
// by their addresses.
type Gateways struct {
	Own   string
	Alive []string // including Own
	// Known are those of the time when most were alive, and those in the settings. They do
	// not change if Own loses contact to the others.
	Known    []string
	Count    int       // divisor of the bound
	Settled  bool      // Own has had the time to learn of the others
	SendFrom time.Time // Own sends nothing to cold engines before
}

func (g Gateways) equal(other Gateways) bool {
	return g.Own == other.Own && g.Count == other.Count && g.Settled == other.Settled && g.SendFrom.Equal(other.SendFrom) &&
		slices.Equal(g.Alive, other.Alive) && slices.Equal(g.Known, other.Known)
}

// share is a gateway's share of the requests to a cold engine, as a token bucket.
type share struct {
	requests  int // within span, at the most; 0: the gateway sends none
	perSecond float64
	burst     float64 // requests, at least 1 unless requests is 0
}

// shareOf returns the share of g.Own at an engine that accepts perSecond requests. Every
// gateway gets the same whole number of requests. The remainder goes to those that rank
// highest for the engine both among all known gateways and among those alive: gateways that
// lost contact to each other agree on the former, gateways that started at different times
// agree on the latter.
func (o Options) shareOf(engine string, perSecond float64, g Gateways) share {
	total := o.bound(perSecond)
	count := max(1, g.Count)
	if !g.Settled {
		count = max(count, startingGateways)
	}
	requests, remainder := total/count, total%count
	if g.Settled && rendezvous.InTop(engine, g.Own, g.Known, remainder) && rendezvous.InTop(engine, g.Own, g.Alive, remainder) {
		requests++
	}
	if requests == 0 || g.Own == "" { // the gateways are not known yet
		return share{}
	}
	// A bucket passes burst + rate * span requests within span, which must be below
	// requests + 1.
	rate := min(perSecond*float64(requests)/float64(total), float64(requests)/(span+minBurst).Seconds())
	burst := min(float64(requests), float64(requests)+1-rate*span.Seconds())
	return share{requests: requests, perSecond: rate, burst: burst}
}

// Startup determines when a gateway that started knows the others.
type Startup struct {
	startedAt time.Time
	heardAt   time.Time // first contact to another gateway; zero: none yet
}

// NewStartup returns the state of a gateway that starts now.
func NewStartup(now time.Time) Startup { return Startup{startedAt: now} }

// Contact returns s after alive gateways were counted, including the own one.
func (s Startup) Contact(now time.Time, alive int) Startup {
	if alive > 1 && s.heardAt.IsZero() {
		s.heardAt = now
	}
	return s
}

// Settled reports whether the gateway knows the others. expectsOthers says that the settings
// name other gateways.
func (s Startup) Settled(now time.Time, expectsOthers bool) bool {
	switch {
	case !s.heardAt.IsZero():
		return !now.Before(s.heardAt.Add(settleDelay))
	case expectsOthers:
		return !now.Before(s.startedAt.Add(maxSilentStart))
	}
	return true
}

// SendFrom returns the time from which the gateway may send requests to cold engines. The
// process before it may have sent some until its end.
func (s Startup) SendFrom() time.Time { return s.startedAt.Add(span) }

// duration converts seconds, which may be huge.
func duration(seconds float64) time.Duration {
	return time.Duration(min(seconds, math.MaxInt32) * float64(time.Second))
}
