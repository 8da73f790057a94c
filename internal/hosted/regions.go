package hosted

import (
	"slices"
	"time"

	"almondreel.example/almondreel/internal/event"
	"almondreel.example/almondreel/internal/settings"
	"almondreel.example/almondreel/internal/site"
)

// applyRegions applies the regions of a configuration to the requests that wait, once.
func (t *serverTable) applyRegions(now time.Time, c *site.Configuration) {
	if c == t.applied {
		return
	}
	previous := t.applied
	t.applied = c
	if !c.RestrictsRegions() && (previous == nil || !previous.RestrictsRegions()) {
		return
	}
	t.pools.RefreshRegions(now)
	for _, region := range unknownRegions(c, t.hosting.Places) {
		event.Log(event.RegionUnknown, "Region", region, "Version", c.Version)
	}
}

// unknownRegions returns the regions that a configuration names and that no data centre is
// in, each once.
func unknownRegions(c *site.Configuration, places []settings.Place) []string {
	var unknown []string
	for _, region := range c.AllowedRegions() {
		known := slices.ContainsFunc(places, func(p settings.Place) bool { return p.Region == region })
		if !known && !slices.Contains(unknown, region) {
			unknown = append(unknown, region)
		}
	}
	return unknown
}
