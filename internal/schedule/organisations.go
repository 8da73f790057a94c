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
	rates     map[string]*organisationRates // by name
	allLately requestRates                  // of the last organisationWindow
	pruneAt   time.Time                     // no search for organisations to be dropped before
}

// organisationRates counts the requests of an organisation.
type organisationRates struct {
	rates   requestRates // of the last second
	lately  requestRates // of the last organisationWindow
	deficit float64      // requests behind the protected rate
	dropAt  time.Time
	starved bool
}

// count counts a request that was asked for or started. startedShare is the fraction of all
// requests that were started.
func (t *organisationTable) count(now time.Time, name string, started bool, startedShare float64) {
	t.prune(now)
	t.allLately.count(now, organisationWindow, started)
	rates, ok := t.rates[name]
	if !ok && !started {
		rates = t.add(name)
	}
	if rates != nil {
		rates.count(now, started)
		rates.balance(startedShare, started)
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
	r.rates.count(now, time.Second, started)
	r.lately.count(now, organisationWindow, started)
	if !started {
		r.dropAt = now.Add(organisationRetention)
	}
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

// servedRate returns the rates of an organisation that are logged. all counts all requests of
// the last second.
func (t *organisationTable) servedRate(now time.Time, r *organisationRates, all *requestRates) ServedRate {
	if r.rates.asked.perSecond(now) >= minAskedPerSecond {
		return r.rates.servedRate(now, time.Second, all)
	}
	return r.lately.servedRate(now, organisationWindow, &t.allLately)
}
