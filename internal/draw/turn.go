package draw

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"almondreel.example/almondreel/pkg/stripe"
)

const (
	// waves is the number of groups in which engines change over: a third of
	// them at a time leaves the rest to serve.
	waves = 3
	// firstLatest and laterLatest are the shares of the bound after which a
	// wave no longer waits for the one before it. An engine takes up to a
	// third of the bound to finish what it runs.
	firstLatest = 0.55
	laterLatest = 0.78
)

// Engine is an engine that is to change over to a version.
type Engine struct {
	Name    string
	Version int64 // that it serves; 0: none
	Ready   bool  // its pieces of the new version are all staged
}

// Turn reports whether the engine named name may change over to version now.
// namedAt is when the version was named, within is the time it has to be
// everywhere.
func Turn(now time.Time, name string, version int64, engines []Engine, namedAt, by time.Time) bool {
	order := slices.DeleteFunc(slices.Clone(engines), func(e Engine) bool { return e.Version == 0 })
	names := make([]string, 0, len(order))
	for _, e := range order {
		names = append(names, e.Name)
	}
	ranked := stripe.Rank(strconv.FormatInt(version, 10), names)
	slices.SortStableFunc(order, func(a, b Engine) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(slices.Index(ranked, a.Name), slices.Index(ranked, b.Name)))
	})
	// Those that have changed over already come last in this order and first in time.
	done := 0
	for _, e := range order {
		if e.Version >= version {
			done++
		}
	}
	own := slices.IndexFunc(order, func(e Engine) bool { return e.Name == name })
	if own < 0 {
		return true
	}
	size := (len(order) + waves - 1) / waves
	wave := (done + own) / size
	begun := done / size
	return wave <= begun || !now.Before(latest(namedAt, by, wave))
}

// latest is the moment from which a wave waits for no other.
func latest(namedAt, by time.Time, wave int) time.Time {
	share := laterLatest
	if wave <= 1 {
		share = firstLatest
	}
	return namedAt.Add(time.Duration(share * float64(by.Sub(namedAt))))
}
