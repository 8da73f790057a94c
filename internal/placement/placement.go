// Package placement defines the placement document: which instances serve which
// version of which class. The planner writes it and all gateways and agents read it.
package placement

import (
	"bytes"
	"encoding/json"
	"slices"
	"time"

	"almondreel.example/almondreel/internal/manifest"
	"almondreel.example/almondreel/internal/operator"
)

// Key is the placement's key in the key-value service. The revision of its value is
// the fencing number of every load order that results from it.
const Key = "placement"

// Assignment is the version and the instances of a class.
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
	// Waiting are the instances among Instances that fetch Digest but must not load it
	// yet, so that the class keeps its capacity during a rollout.
	Waiting []string `json:"Waiting,omitempty"`
	// Previous are older versions that still serve the class during the rollout of
	// Digest, on Instances and on Retiring. Retiring are instances outside Instances
	// that do so.
	Previous []manifest.Digest `json:"Previous,omitempty"`
	Retiring []string          `json:"Retiring,omitempty"`
}

// MayLoad reports whether the instance may load Digest into its engine now.
func (a Assignment) MayLoad(instance string) bool {
	return slices.Contains(a.Instances, instance) && !slices.Contains(a.Waiting, instance)
}

// AllowsVersion reports whether version d may serve the class.
func (a Assignment) AllowsVersion(d manifest.Digest) bool {
	return d == a.Digest || slices.Contains(a.Previous, d)
}

// MayServe reports whether the instance may serve the class with version d.
func (a Assignment) MayServe(instance string, d manifest.Digest) bool {
	if slices.Contains(a.Instances, instance) {
		return a.AllowsVersion(d)
	}
	return slices.Contains(a.Retiring, instance) && slices.Contains(a.Previous, d)
}

// Placement holds the assignments of all classes. Classes that share a version share
// instances.
type Placement struct {
	Assignments []Assignment `json:"Assignments"`
	ChangeID    string       `json:"ChangeID"`    // of the write that created it
	Holder      string       `json:"Holder"`      // gateway that wrote it; the first write of a new lease holder changes it
	PlannedFrom uint64       `json:"PlannedFrom"` // revision of the configuration that it was computed from
	Revision    uint64       `json:"-"`           // key-value revision: the fencing number
}

// WithRevision returns a copy of the placement with the given key-value revision.
func (p Placement) WithRevision(revision uint64) Placement {
	p.Revision = revision
	return p
}

// Assignment returns the assignment of a class, and whether there is one.
func (p Placement) Assignment(class string) (Assignment, bool) {
	for _, a := range p.Assignments {
		if a.Class == class {
			return a, true
		}
	}
	return Assignment{}, false
}

// AssignmentsOn returns the assignments whose Instances include the instance.
func (p Placement) AssignmentsOn(instance string) []Assignment {
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

// SameAssignments reports whether both placements have equal assignments; it ignores
// their other fields.
func (p Placement) SameAssignments(other Placement) bool {
	return bytes.Equal(p.encodeAssignments(), other.encodeAssignments())
}

func (p Placement) encodeAssignments() []byte {
	text, err := json.Marshal(p.Assignments)
	if err != nil {
		panic(err)
	}
	return text
}
