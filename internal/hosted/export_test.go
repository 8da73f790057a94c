package hosted

import (
	"time"

	"almondreel.example/almondreel/internal/mirror"
	"almondreel.example/almondreel/platform"
)

// View exposes a process's view of the site, so that tests can apply changed items
// in any order.
type View struct {
	Mirror *mirror.Mirror
	view   *siteView
}

// NewView returns an empty view that calls no store.
func NewView(versionMS int) View {
	view := newSiteView(platform.NewStore(""), versionMS)
	return View{Mirror: view.mirror, view: view}
}

// Apply updates the view from changed items.
func (v View) Apply(items []mirror.Item) { v.view.apply(items, "test") }

// Listed returns the number of listed servers.
func (v View) Listed() int { return len(v.view.listedServers(time.Now())) }

// AnswerUntil returns when a stop that began at a time ends the requests in progress.
func AnswerUntil(began time.Time, grace time.Duration) time.Time {
	return newStopTimes(began, grace).answer
}
