package hosted

import (
	"maps"
	"slices"
	"time"

	"almondreel.example/almondreel/internal/counter"
	"almondreel.example/almondreel/internal/event"
	"almondreel.example/almondreel/internal/mirror"
	"almondreel.example/almondreel/internal/settings"
	"almondreel.example/almondreel/platform"
)

// applyEvacuation applies the key of an evacuation, whose value does not matter. Callers
// hold mu.
func (sv *siteView) applyEvacuation(i mirror.Item) {
	dataCentre := platform.EvacuatedDataCentre(i.Key)
	if i.Deleted {
		delete(sv.evacuated, dataCentre)
		return
	}
	sv.evacuated[dataCentre] = true
}

// evacuations returns the evacuated data centres.
func (sv *siteView) evacuations() map[string]bool {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return maps.Clone(sv.evacuated)
}

// isEvacuated reports whether a data centre is evacuated.
func (sv *siteView) isEvacuated(dataCentre string) bool {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return sv.evacuated[dataCentre]
}

// evacuationLog logs and counts evacuations as they begin and end.
type evacuationLog struct {
	logged map[string]bool // data centres whose evacuation is in the log
}

// record logs what has changed. An evacuation of a data centre that is not listed is
// logged apart, since it may be a mistake in the name.
func (l *evacuationLog) record(evacuated map[string]bool, places []settings.Place, revision int64) {
	if maps.Equal(evacuated, l.logged) {
		return
	}
	known := func(dataCentre string) bool {
		return slices.ContainsFunc(places, func(p settings.Place) bool { return p.DataCentre == dataCentre })
	}
	count := int64(0)
	for _, dataCentre := range slices.Sorted(maps.Keys(evacuated)) {
		began := event.DataCentreEvacuated
		if known(dataCentre) {
			count++
		} else {
			began = event.EvacuationUnknown
		}
		if !l.logged[dataCentre] {
			event.Log(began, "DataCentre", dataCentre, "Revision", revision)
		}
	}
	for _, dataCentre := range slices.Sorted(maps.Keys(l.logged)) {
		if !evacuated[dataCentre] && known(dataCentre) {
			event.Log(event.EvacuationEnded, "DataCentre", dataCentre, "Revision", revision)
		}
	}
	l.logged = evacuated
	counter.Set("EvacuatedDataCentres", count)
}

// guardPauses lets no request start after a pause of the process until it has caught up
// with the store. A pause counts from half of the time in which evacuations must be in
// force; the other half is for changes to reach the process.
func (t *serverTable) guardPauses(now time.Time) {
	if t.evacuateMS == 0 {
		return
	}
	previous := t.pauseGuard.Until()
	t.pauseGuard = t.pauseGuard.Next(now, now.Add(time.Duration(t.evacuateMS/2)*time.Millisecond))
	if until := t.pauseGuard.Until(); until.After(previous) {
		t.startsHeld = false
		t.pools.SetStartsUntil(now, until)
		return
	}
	if !t.startsHeld {
		t.startsHeld = true
		counter.Add("StartsHeld", 1)
	}
}
