package hosted

import (
	"maps"
	"slices"

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
