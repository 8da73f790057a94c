package schedule

import "time"

const (
	// starvedOrganisationShare is the fraction of the rate at which all requests are started,
	// below which those of one organisation go first. The requirement is a quarter over all
	// gateways, each of which counts only its own requests.
	starvedOrganisationShare = 0.4
	// minDeficit is the number of requests by which an organisation must be behind its
	// protected rate to count as starved. With less, a single refusal of an organisation that
	// sends few requests would let its next one go first.
	minDeficit = 0.5
	// maxDeficit and maxCredit bound what is kept from before: requests that were not started
	// long ago give no precedence now, and requests that were started in calm do not count
	// against an organisation in a shortage.
	maxDeficit = 2.0
	maxCredit  = 1.0
	// organisationWindow is the time over which the logged rates of organisations with less
	// than minAskedPerSecond requests are counted.
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
	deficit                    float64 // requests behind the protected rate
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
		rates.balance(t.startedShare(now), started)
	}
}

// startedShare returns the fraction of all requests of the last second that were started.
func (t *organisationTable) startedShare(now time.Time) float64 {
	asked := t.all.asked.perSecond(now)
	if asked <= 0 {
		return 1
	}
	return min(1, t.all.started.perSecond(now)/asked)
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

// balance updates the deficit for a request that was asked for or started.
func (r *organisationRates) balance(startedShare float64, started bool) {
	if started {
		r.deficit = max(-maxCredit, r.deficit-1)
	} else {
		r.deficit = min(maxDeficit, r.deficit+starvedOrganisationShare*startedShare)
	}
	switch {
	case r.deficit >= minDeficit:
		r.starved = true
	case r.deficit <= 0:
		r.starved = false
	}
}

// starved reports whether an organisation's requests are started much less often than all
// requests, or were and have not caught up. An organisation without others cannot be.
func (t *organisationTable) starved(name string) bool {
	rates, ok := t.rates[name]
	return ok && rates.starved && len(t.rates) > 1
}

// rate returns the rates of an organisation that are logged.
func (t *organisationTable) rate(now time.Time, r *organisationRates) ServedRate {
	if asked := r.asked.perSecond(now); asked >= minAskedPerSecond {
		return ServedRate{
			AskedPerSecond: asked, StartedPerSecond: r.started.perSecond(now),
			AllAskedPerSecond: t.all.asked.perSecond(now), AllStartedPerSecond: t.all.started.perSecond(now),
		}
	}
	return ServedRate{
		AskedPerSecond: r.askedLately.perSecond(now), StartedPerSecond: r.startedLately.perSecond(now),
		AllAskedPerSecond: t.all.askedLately.perSecond(now), AllStartedPerSecond: t.all.startedLately.perSecond(now),
	}
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
