package hosting_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/platform/standin"
)

// permits reports whether a configuration that may have been in force at a time lets the
// requests of a path run in a region.
func (p *plannedConfigurations) permits(path, region string, at time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return permitsAt(p.written, path, region, at)
}

// permitsAt is permits for the configurations written. A request whose route a configuration
// lacks keeps the route's regions of the configuration before.
func permitsAt(written []writtenConfiguration, path, region string, at time.Time) bool {
	for n, w := range slices.Backward(written) {
		if w.inForce(at, at) && permits(w.Configuration, path, region) && (routed(w.Configuration, path) || permitsAt(written[:n], path, region, w.from)) {
			return true
		}
	}
	return false
}

// permits reports whether a configuration lets the requests of a path run in a region.
func permits(c standin.Configuration, path, region string) bool {
	limits := [][]string{c.TenantRegions}
	if routed(c, path) && c.RegionsPrefix == path {
		limits = append(limits, c.Regions)
	}
	return !slices.ContainsFunc(limits, func(l []string) bool { return len(l) > 0 && !slices.Contains(l, region) })
}

// regionOf returns the region of a data centre.
func regionOf(dataCentre string) string { return strings.TrimSuffix(dataCentre, "-a") }

// noEngineRemained reports whether o was refused while no server may have been left in its
// regions and outside the evacuated data centres, or for that reason.
func (s *plannedSoak) noEngineRemained(o plannedOutcome) bool {
	if o.Status != http.StatusServiceUnavailable {
		return false
	}
	dataCentres := []string{northernDataCentre}
	if o.path == standin.StreamPath {
		dataCentres = append(dataCentres, southernDataCentre)
	}
	return excludes(o) || !slices.ContainsFunc(dataCentres, func(dataCentre string) bool {
		evacuated := slices.ContainsFunc(s.injected.evacuations, func(v evacuation) bool { return v.dataCentre == dataCentre && v.overlaps(o.began, o.ended) })
		return !evacuated && !anyOf(s.configurations.inForce(o.began, o.ended), func(c standin.Configuration) bool { return !permits(c, o.path, regionOf(dataCentre)) })
	})
}

// excludes reports whether the reason of o's refusal is that no server was left.
func excludes(o plannedOutcome) bool {
	return o.Status == http.StatusServiceUnavailable && slices.Contains([]string{"DataCentreEvacuated", "NoAllowedRegion"}, strings.TrimSpace(o.Body))
}

// addLoadProblems adds, by kind, the requests that cold engines, evacuations or regions forbade, and the
// refusals that name them without reason.
func (s *plannedSoak) addLoadProblems(problems map[string][]string) {
	add := func(kind, format string, args ...any) {
		problems[kind] = append(problems[kind], fmt.Sprintf(format, args...))
	}
	coldRequests, most := 0, 0
	for _, c := range s.injected.cold {
		var got []time.Time
		for _, at := range c.engine.ReceivedCold() {
			if at.After(c.From) && at.Before(c.To) {
				got = append(got, at)
			}
		}
		n := mostPerSecond(got)
		coldRequests, most = coldRequests+len(got), max(most, n)
		if n > soakColdBound {
			add("cold engine got more than its bound", "%s: %d requests within a second, from %s to %s", c.engine.Key(), n, c.From.Format(logTimeLayout), c.To.Format(logTimeLayout))
		}
	}
	checkRegion := func(server, dataCentre, path string, r standin.Run) {
		if !s.configurations.permits(path, regionOf(dataCentre), r.Arrived) {
			add("request outside its home regions", "%s arrived at %s in %s at %s", r.Attempt, server, dataCentre, r.Arrived.Format(logTimeLayout))
		}
	}
	evacuatedTime := time.Duration(0)
	for _, v := range s.injected.evacuations {
		evacuatedTime += max(0, v.To.Sub(v.From.Add(soakEvacuateTime)))
	}
	for n, e := range s.loadedEngines() {
		for _, r := range e.Requests() {
			checkRegion(e.Key(), s.dataCentreOf(n), standin.StreamPath, r)
			for _, v := range s.injected.evacuations {
				if late := r.Arrived.Sub(v.From); v.dataCentre == s.dataCentreOf(n) && late > soakEvacuateTime && r.Arrived.Before(v.To) {
					add("request reached an evacuated data centre", "%s arrived at %s at %s, %s after the evacuation", r.Attempt, e.Key(), r.Arrived.Format(logTimeLayout), late)
				}
			}
		}
	}
	for _, r := range append(s.ledger.Runs(), s.spare.Runs()...) {
		checkRegion("a plain service", northernDataCentre, standin.OncePath, r)
	}
	for _, o := range s.outcomes {
		evacuated := slices.ContainsFunc(s.injected.evacuations, func(v evacuation) bool {
			return period{v.From, v.To.Add(configurationTime)}.overlaps(o.began, o.ended)
		})
		bound := anyOf(s.configurations.inForce(o.began, o.ended), func(c standin.Configuration) bool {
			return !permits(c, o.path, "north") || !permits(c, o.path, "south")
		})
		if reason := strings.TrimSpace(o.Body); excludes(o) && !(reason == "DataCentreEvacuated" && evacuated || reason == "NoAllowedRegion" && bound) {
			add("refused without reason as "+reason, "%s to %s, %s to %s", o.Attempt, o.gateway, o.began.Format(logTimeLayout), o.ended.Format(logTimeLayout))
		}
	}
	require.Positive(s.t, coldRequests, "requests to cold engines")
	require.Positive(s.t, evacuatedTime, "evacuations in force")
	s.t.Logf("%d cold periods with %d requests, at most %d within a second; %d evacuations, in force for %s", len(s.injected.cold), coldRequests, most, len(s.injected.evacuations), evacuatedTime)
}
