package dispatch

import (
	"math/rand/v2"
	"time"

	"almondreel.example/almondreel/internal/gateway"
	"almondreel.example/almondreel/internal/manifest"
	"almondreel.example/almondreel/internal/operator"
	"almondreel.example/almondreel/internal/placement"
)

// chooseVersion returns the version that a new request of the class is pinned
// to: of those that may answer for it, each in proportion to the members that
// serve it.
func chooseVersion(a placement.Assignment, members []gateway.Member) manifest.Digest {
	var answering []manifest.Digest
	for _, m := range members {
		if m.Digest != "" && a.Answers(m.Name, m.Digest) {
			answering = append(answering, m.Digest)
		}
	}
	if len(answering) == 0 {
		return a.Digest
	}
	return answering[rand.IntN(len(answering))]
}

// pinAnew pins a request that was not run to a version that an agent serves
// which was not tried, to the placed one if there is a choice. An agent that is
// closed or serves another version than its last heartbeat said is in the
// middle of a release.
func (f *flight) pinAnew() {
	if f.accepted || f.request.Class.Kind != operator.Model {
		return
	}
	snapshot, _ := f.dispatcher.options.Desired.Current()
	a, ok := snapshot.Placement.Of(f.request.Class.Name)
	if !ok {
		return
	}
	var former manifest.Digest
	for _, m := range f.subset(time.Now()) {
		switch {
		case f.tried[m.Name] || m.Digest == "" || !a.Answers(m.Name, m.Digest):
		case m.Digest == a.Digest:
			f.progress.Digest = a.Digest
			return
		default:
			former = m.Digest
		}
	}
	if former != "" {
		f.progress.Digest = former
	}
}
