package schedule

import "time"

const (
	// starvedOrganisationShare is the fraction of the rate at which all requests are started,
	// below which those of one organisation go first. The requirement is a quarter over all
	// gateways, each of which counts only its own requests.
	starvedOrganisationShare = 0.4
	// minOwed is the number of requests by which an organisation must be behind its protected
	// rate to count as starved. With less, a single refusal of an organisation that sends few
	// requests would let its next one go first.
	minOwed = 0.5
	// organisationWindow is the time over which organisations with less than
	// minAskedPerSecond requests are evaluated. At half of the requests started it takes
	// three requests within it to be half a request behind, hence one in ten seconds at a
	// gateway. Longer windows give precedence long after a shortage has ended.
	organisationWindow = 30 * time.Second
	// organisationRetention is how long an organisation is kept after its last request.
	organisationRetention = time.Minute
	// maxOrganisations bounds the memory of the counts, to about 300 KB a service. Further
	// organisations are not protected until others have been dropped.
	maxOrganisations = 1024
	// pruneInterval is the least time between two searches for organisations to be dropped.
	pruneInterval = time.Second
)

// organisationTable tells which organisations are starved.
type organisationTable struct {
	rates   map[string]*organisationRates // by name
	all     organisationRates
	pruneAt time.Time // no search for organisations to be dropped before
}

// organisationRates counts the requests of an organisation.
type organisationRates struct {
	asked, started             rateWindow
	askedLately, startedLately longWindow
	dropAt                     time.Time
	starved                    bool
}

// count counts a request that was asked for or started.
func (t *organisationTable) count(now time.Time, name string, started bool) {
	t.prune(now)
	t.all.count(now, started)
	rates, ok := t.rates[name]
	if !ok && !started {
		rates = t.add(name)
	}
	if rates != nil {
		rates.count(now, started)
	}
}

// add adds an organisation and returns its counts, or nil if there is no room for it.
func (t *organisationTable) add(name string) *organisationRates {
	if len(t.rates) >= maxOrganisations {
		return nil
	}
	if t.rates == nil {
		t.rates = map[string]*organisationRates{}
	}
	rates := &organisationRates{}
	t.rates[name] = rates
	return rates
}

// prune drops the organisations that have sent no request for organisationRetention.
func (t *organisationTable) prune(now time.Time) {
	if now.Before(t.pruneAt) {
		return
	}
	t.pruneAt = now.Add(pruneInterval)
	for name, rates := range t.rates {
		if !now.Before(rates.dropAt) {
			delete(t.rates, name)
		}
	}
}

func (r *organisationRates) count(now time.Time, started bool) {
	if started {
		r.started.add(now)
		r.startedLately.add(now)
		return
	}
	r.asked.add(now)
	r.askedLately.add(now)
	r.dropAt = now.Add(organisationRetention)
}

// starved reports whether an organisation's requests are started much less often than all
// requests, or were and have not caught up.
func (t *organisationTable) starved(now time.Time, name string) bool {
	rates, ok := t.rates[name]
	if !ok {
		return false
	}
	switch owed := t.owed(now, rates); {
	case owed >= minOwed:
		rates.starved = true
	case owed <= 0:
		rates.starved = false
	}
	return rates.starved
}

// owed returns the requests that an organisation is behind its protected rate.
func (t *organisationTable) owed(now time.Time, r *organisationRates) float64 {
	rate, seconds := t.rate(now, r)
	if rate.AllAskedPerSecond <= 0 {
		return 0
	}
	protected := starvedOrganisationShare * rate.AskedPerSecond * min(1, rate.AllStartedPerSecond/rate.AllAskedPerSecond)
	return (protected - rate.StartedPerSecond) * seconds
}

// rate returns the rates by which an organisation is evaluated, and the seconds over which
// they were counted.
func (t *organisationTable) rate(now time.Time, r *organisationRates) (rate ServedRate, seconds float64) {
	if asked := r.asked.perSecond(now); asked >= minAskedPerSecond {
		return ServedRate{
			AskedPerSecond: asked, StartedPerSecond: r.started.perSecond(now),
			AllAskedPerSecond: t.all.asked.perSecond(now), AllStartedPerSecond: t.all.started.perSecond(now),
		}, 1
	}
	return ServedRate{
		AskedPerSecond: r.askedLately.perSecond(now), StartedPerSecond: r.startedLately.perSecond(now),
		AllAskedPerSecond: t.all.askedLately.perSecond(now), AllStartedPerSecond: t.all.startedLately.perSecond(now),
	}, organisationWindow.Seconds()
}

// longWindow counts the events of the last organisationWindow.
type longWindow struct{ window rateWindow }

func (w *longWindow) add(now time.Time) {
	w.window.advanceBy(now, organisationWindow)
	w.window.current++
}

func (w *longWindow) perSecond(now time.Time) float64 {
	w.window.advanceBy(now, organisationWindow)
	seconds := organisationWindow.Seconds()
	return (w.window.current + w.window.previous*(1-now.Sub(w.window.openedAt).Seconds()/seconds)) / seconds
}
