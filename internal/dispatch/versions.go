package dispatch

import (
	"math/rand/v2"

	"almondreel.example/almondreel/internal/gateway"
	"almondreel.example/almondreel/internal/manifest"
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
