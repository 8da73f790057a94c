// Package placement says which instances carry which version of which class.
package placement

import (
	"bytes"
	"encoding/json"
	"slices"
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
	// Waiting are those of Instances that fetch Digest but must not load it yet,
	// so that the class keeps its capacity while versions change.
	Waiting []string `json:"Waiting,omitempty"`
	// Previous are older versions that still answer for the class while Digest
	// is brought up, on Instances and on Retiring.
	Previous []manifest.Digest `json:"Previous,omitempty"`
	Retiring []string          `json:"Retiring,omitempty"`
}

// MayLoad reports whether the instance may have its engine load Digest now.
func (a Assignment) MayLoad(instance string) bool {
	return slices.Contains(a.Instances, instance) && !slices.Contains(a.Waiting, instance)
}

// Serves reports whether a version may answer for the class.
func (a Assignment) Serves(d manifest.Digest) bool {
	return d == a.Digest || slices.Contains(a.Previous, d)
}

// Answers reports whether the instance, stating version d, may answer for the class.
func (a Assignment) Answers(instance string, d manifest.Digest) bool {
	if slices.Contains(a.Instances, instance) {
		return a.Serves(d)
	}
	return slices.Contains(a.Retiring, instance) && slices.Contains(a.Previous, d)
}

// Placement is every class's assignment. Classes that share a version share instances.
type Placement struct {
	Assignments []Assignment `json:"Assignments"`
	ChangeID    string       `json:"ChangeID"`    // of the write that made it
	Holder      string       `json:"Holder"`      // gateway that made it; a new holder's first write changes it
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

// Same reports whether both place every class alike, whoever wrote them.
func (p Placement) Same(other Placement) bool {
	return bytes.Equal(p.encodeAssignments(), other.encodeAssignments())
}

func (p Placement) encodeAssignments() []byte {
	text, err := json.Marshal(p.Assignments)
	if err != nil {
		panic(err)
	}
	return text
}
