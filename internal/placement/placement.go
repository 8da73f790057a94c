// Package placement says which instances carry which version of which class.
package placement

import (
	"time"

	"almondreel.example/almondreel/internal/manifest"
	"almondreel.example/almondreel/internal/operator"
)

// Key is the placement's key in the key-value service. Its revision is the
// fencing number of every order that follows from it.
const Key = "placement"

// Assignment gives a class its version and instances.
type Assignment struct {
	Class     string            `json:"Class"`
	Kind      operator.Kind     `json:"Kind"`
	Service   string            `json:"Service"`
	Model     string            `json:"Model,omitempty"`
	Version   string            `json:"Version,omitempty"`
	Digest    manifest.Digest   `json:"Digest,omitempty"` // of the manifest, fixed when planned
	ReadyBy   time.Time         `json:"ReadyBy,omitzero"`
	Weighing  operator.Weighing `json:"Weighing,omitempty"`
	Instances []string          `json:"Instances"` // names, sorted
}

// Placement is every class's assignment. Classes that share a version share instances.
type Placement struct {
	Assignments []Assignment `json:"Assignments"`
	ChangeID    string       `json:"ChangeID"`    // of the write that made it
	PlannedFrom uint64       `json:"PlannedFrom"` // revision of the configuration
	Revision    uint64       `json:"-"`           // key-value revision: the fencing number
}

// WithRevision returns the placement as read at revision.
func (p Placement) WithRevision(revision uint64) Placement {
	p.Revision = revision
	return p
}

// Of returns the class's assignment.
func (p Placement) Of(class string) (Assignment, bool) {
	for _, a := range p.Assignments {
		if a.Class == class {
			return a, true
		}
	}
	return Assignment{}, false
}

// On returns the assignments that name the instance.
func (p Placement) On(instance string) []Assignment {
	var out []Assignment
	for _, a := range p.Assignments {
		for _, name := range a.Instances {
			if name == instance {
				out = append(out, a)
			}
		}
	}
	return out
}
