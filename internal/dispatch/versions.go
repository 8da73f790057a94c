package dispatch

import (
	"math/rand/v2"
	"time"

	"almondreel.example/almondreel/internal/gateway"
	"almondreel.example/almondreel/internal/manifest"
	"almondreel.example/almondreel/internal/operator"
	"almondreel.example/almondreel/internal/placement"
)

// chooseVersion returns the version to which a new request of the class is
// pinned. It picks at random among the versions that may answer, weighted by the
// number of members that serve each.
func chooseVersion(a placement.Assignment, members []gateway.Member) manifest.Digest {
	var answering []manifest.Digest
	for _, m := range members {
		if m.Digest != "" && a.MayServe(m.Name, m.Digest) {
			answering = append(answering, m.Digest)
		}
	}
	if len(answering) == 0 {
		return a.Digest
	}
	return answering[rand.IntN(len(answering))]
}

// repin pins a request that was not run to a version that an untried agent
// serves, preferring the placed version. It is called when an agent admits no
// requests or serves another version than in its last heartbeat, as happens during
// a rollout.
func (f *inflight) repin() {
	if f.mayHaveRun || f.request.Class.Kind != operator.Model {
		return
	}
	snapshot, _ := f.dispatcher.options.Desired.Current()
	a, ok := snapshot.Placement.Assignment(f.request.Class.Name)
	if !ok {
		return
	}
	var previous manifest.Digest
	for _, m := range f.subset(time.Now()) {
		switch {
		case f.tried[m.Name] || m.Digest == "" || !a.MayServe(m.Name, m.Digest):
		case m.Digest == a.Digest:
			f.progress.Digest = a.Digest
			return
		default:
			previous = m.Digest
		}
	}
	if previous != "" {
		f.progress.Digest = previous
	}
}
