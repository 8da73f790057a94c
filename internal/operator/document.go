// Package operator holds what operators say: classes of work and their targets.
package operator

import (
	"encoding/json"
	"time"
)

// ConfigurationKey is the document's key in the key-value service.
const ConfigurationKey = "configuration"

// MaxHistory bounds the accepted changes that a document remembers.
const MaxHistory = 500

// Kind of a class's backend servers.
type Kind string

// Kinds.
const (
	Model Kind = "Model" // model engines, streamed answers
	Plain Kind = "Plain" // plain services, whole answers
)

// Weighing chooses between a fast and a thrifty release.
type Weighing string

// Weighings.
const (
	Time        Weighing = "Time"        // each region draws from the origin
	OriginBytes Weighing = "OriginBytes" // one copy is drawn in all
)

// Target says when a version must serve, on how many instances and how fast.
type Target struct {
	Model                     string    `json:"Model,omitempty"` // empty for a plain service
	Version                   string    `json:"Version,omitempty"`
	Replicas                  int       `json:"Replicas"`
	ReadyBy                   time.Time `json:"ReadyBy,omitzero"`
	Weighing                  Weighing  `json:"Weighing,omitempty"`
	FirstTokenMilliseconds    int       `json:"FirstTokenMilliseconds,omitempty"`
	BetweenTokensMilliseconds int       `json:"BetweenTokensMilliseconds,omitempty"`
	AnswerMilliseconds        int       `json:"AnswerMilliseconds"` // a request's deadline from its arrival
}

// Class is a class of work.
type Class struct {
	Name       string `json:"Name"`
	Kind       Kind   `json:"Kind"`
	Service    string `json:"Service"`    // service whose backend servers may carry it
	Idempotent bool   `json:"Idempotent"` // false: a call runs at most once and needs a key
	Priority   int    `json:"Priority"`   // higher goes first
	Target     Target `json:"Target"`
}

// Change is an accepted change.
type Change struct {
	ChangeID string    `json:"ChangeID"`
	Class    string    `json:"Class"`
	Operator string    `json:"Operator,omitempty"`
	At       time.Time `json:"At"`
	Revision uint64    `json:"Revision"` // of the document that it was made on
}

// Document is the whole configuration. Classes are in order of name.
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

// WithRevision returns the document as read at revision.
func (d Document) WithRevision(revision uint64) Document {
	d.Revision = revision
	return d
}

// WithoutHistory returns the document as daemons need it.
func (d Document) WithoutHistory() Document {
	d.History = nil
	return d
}

// Encode returns the document's JSON.
func (d Document) Encode() []byte {
	text, err := json.Marshal(d)
	if err != nil {
		panic(err)
	}
	return text
}
