// Package operator defines the configuration that operators set: classes of work and
// their targets. Operators edit it in the key-value service; gateways follow it when
// they plan placements and serve requests.
package operator

import (
	"encoding/json"
	"time"
)

// ConfigurationKey is the key of the configuration in the key-value service.
const ConfigurationKey = "configuration"

// MaxHistory is the maximum number of accepted changes that a document lists.
const MaxHistory = 500

// Kind is the kind of a class's backend servers.
type Kind string

// Kinds.
const (
	Model Kind = "Model" // model engines, streamed answers
	Plain Kind = "Plain" // plain services, whole answers
)

// Weighing is the cost that the release of a version minimises.
type Weighing string

// Weighings.
const (
	Time        Weighing = "Time"        // shortest time: every region downloads a copy from the origin
	OriginBytes Weighing = "OriginBytes" // fewest bytes from the origin: all regions share one copy
)

// Target is the version that a class must serve, its number of replicas, the deadline
// to serve it, and latency targets. A latency of 0 means no target.
type Target struct {
	Model                     string    `json:"Model,omitempty"` // empty for a plain service
	Version                   string    `json:"Version,omitempty"`
	Replicas                  int       `json:"Replicas"`
	ReadyBy                   time.Time `json:"ReadyBy,omitzero"`
	Weighing                  Weighing  `json:"Weighing,omitempty"`
	FirstTokenMilliseconds    int       `json:"FirstTokenMilliseconds,omitempty"`
	BetweenTokensMilliseconds int       `json:"BetweenTokensMilliseconds,omitempty"`
	AnswerMilliseconds        int       `json:"AnswerMilliseconds"` // deadline of a request, from its arrival
}

// Class is a class of work: requests that share a service, a priority and a target.
type Class struct {
	Name       string `json:"Name"`
	Kind       Kind   `json:"Kind"`
	Service    string `json:"Service"`    // service whose backend servers may serve it
	Idempotent bool   `json:"Idempotent"` // false: a call runs at most once and needs an idempotency key
	Priority   int    `json:"Priority"`   // classes with a higher priority go first
	Target     Target `json:"Target"`
}

// Change is an accepted change of one class.
type Change struct {
	ChangeID string    `json:"ChangeID"`
	Class    string    `json:"Class"`
	Operator string    `json:"Operator,omitempty"`
	At       time.Time `json:"At"`
	Revision uint64    `json:"Revision"` // revision of the document that the change was based on
}

// Document is the whole configuration. Classes are sorted by name.
type Document struct {
	Classes []Class  `json:"Classes"`
	History []Change `json:"History"` // oldest first, at most MaxHistory
	// Revision is the key-value revision at which the document was read.
	Revision uint64 `json:"-"`
}

// Class returns the class called name.
func (d Document) Class(name string) (Class, bool) {
	for _, c := range d.Classes {
		if c.Name == name {
			return c, true
		}
	}
	return Class{}, false
}

// WithRevision returns the document with the given key-value revision.
func (d Document) WithRevision(revision uint64) Document {
	d.Revision = revision
	return d
}

// WithoutHistory returns the document without its history, which daemons do not need.
func (d Document) WithoutHistory() Document {
	d.History = nil
	return d
}

// Encode returns the document as JSON.
func (d Document) Encode() []byte {
	text, err := json.Marshal(d)
	if err != nil {
		panic(err)
	}
	return text
}
