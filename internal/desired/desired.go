// Package desired holds the configuration and the placement that a gateway or an agent
// currently follows. A document replaces only one with a lower revision, whatever its
// sender.
package desired

import (
	"bytes"
	"encoding/json"
	"errors"
	"sync"

	"almondreel.example/almondreel/internal/compress"
	"almondreel.example/almondreel/internal/errs"
	"almondreel.example/almondreel/internal/event"
	"almondreel.example/almondreel/internal/gateway"
	"almondreel.example/almondreel/internal/invariant"
	"almondreel.example/almondreel/internal/operator"
	"almondreel.example/almondreel/internal/placement"
)

// Snapshot holds the documents that are current at one time, and their encoded forms
// for sending to others.
type Snapshot struct {
	Configuration        operator.Document
	Placement            placement.Placement
	EncodedConfiguration gateway.Versioned
	EncodedPlacement     gateway.Versioned
}

// State holds the newest snapshot. It is safe for concurrent use.
type State struct {
	mu       sync.Mutex
	snapshot Snapshot
	changed  chan struct{}
}

// NewState returns a state without documents.
func NewState() *State {
	return &State{changed: make(chan struct{})}
}

// Current returns the snapshot and a channel that is closed when a newer one replaces it.
func (s *State) Current() (Snapshot, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.snapshot, s.changed
}

// AdoptConfiguration makes v current if its revision is higher than the current one.
// An empty value is ignored. from names the sender in logs and errors. It returns an
// error if v cannot be decoded.
func (s *State) AdoptConfiguration(v gateway.Versioned, from string) error {
	if len(v.Value) == 0 {
		return nil
	}
	var d operator.Document
	if err := decodeObject(v.Value, &d); err != nil {
		return errs.Wrap(err, "decode configuration", from)
	}
	v = v.WithCompressed()
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.snapshot.EncodedConfiguration.Revision
	if v.Revision <= current {
		logOlder(event.ConfigurationOlder, v.Revision, current, from)
		return nil
	}
	s.replace(s.snapshot.withConfiguration(d, v))
	event.Log(event.ConfigurationAdopted, "Revision", v.Revision, "From", from)
	return nil
}

// AdoptPlacement makes v current if its revision is higher than the current one. An
// empty value is ignored. from names the sender in logs and errors. It returns an
// error if v cannot be decoded.
func (s *State) AdoptPlacement(v gateway.Versioned, from string) error {
	if len(v.Value) == 0 {
		return nil
	}
	var p placement.Placement
	if err := decodeObject(v.Value, &p); err != nil {
		return errs.Wrap(err, "decode placement", from)
	}
	v = v.WithCompressed()
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.snapshot.EncodedPlacement.Revision
	if v.Revision <= current {
		logOlder(event.PlacementOlder, v.Revision, current, from)
		return nil
	}
	s.replace(s.snapshot.withPlacement(p, v))
	event.Log(event.PlacementAdopted, "Revision", v.Revision, "From", from)
	return nil
}

var errNoObject = errors.New("document is not a JSON object")

// decodeObject decodes a document. encoding/json takes null for an empty one.
func decodeObject(text []byte, document any) error {
	if !bytes.HasPrefix(bytes.TrimLeft(text, " \t\r\n"), []byte("{")) {
		return errNoObject
	}
	return json.Unmarshal(text, document)
}

// logOlder logs a document whose revision is lower than the current one.
func logOlder(n event.Number, offered, current uint64, from string) {
	if offered < current {
		event.Log(n, "Offered", offered, "Held", current, "From", from)
	}
}

// replace makes next current. Callers hold mu.
func (s *State) replace(next Snapshot) {
	before, after := s.snapshot.Revisions(), next.Revisions()
	increases := after.Configuration >= before.Configuration && after.Placement >= before.Placement && after != before
	invariant.Assert(increases, invariant.RevisionRises, "%+v follows %+v", after, before)
	s.snapshot = next
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s Snapshot) withConfiguration(d operator.Document, v gateway.Versioned) Snapshot {
	s.Configuration = d.WithRevision(v.Revision)
	s.EncodedConfiguration = v
	return s
}

func (s Snapshot) withPlacement(p placement.Placement, v gateway.Versioned) Snapshot {
	s.Placement = p.WithRevision(v.Revision)
	s.EncodedPlacement = v
	return s
}

// Revisions returns the revisions of both documents; 0 means that there is none.
func (s Snapshot) Revisions() gateway.Revisions {
	return gateway.Revisions{
		Configuration: s.EncodedConfiguration.Revision,
		Placement:     s.EncodedPlacement.Revision,
	}
}

// Complete reports whether the snapshot has both documents.
func (s Snapshot) Complete() bool {
	r := s.Revisions()
	return r.Configuration > 0 && r.Placement > 0
}

// Newer returns the documents with higher revisions than held.
func (s Snapshot) Newer(held gateway.Revisions) gateway.Documents {
	var d gateway.Documents
	if s.EncodedConfiguration.Revision > held.Configuration {
		d.Configuration = s.EncodedConfiguration
	}
	if s.EncodedPlacement.Revision > held.Placement {
		d.Placement = s.EncodedPlacement
	}
	return d
}

// Behind reports whether offered has a higher revision of a document than the snapshot.
func (s Snapshot) Behind(offered gateway.Revisions) bool {
	current := s.Revisions()
	return offered.Configuration > current.Configuration || offered.Placement > current.Placement
}

// Adopt makes each document in d current if it is newer. The error joins those of
// AdoptConfiguration and AdoptPlacement.
func (s *State) Adopt(d gateway.Documents, from string) error {
	return errors.Join(s.AdoptConfiguration(d.Configuration, from), s.AdoptPlacement(d.Placement, from))
}

// AdoptStored makes a value that was read from the key-value service current if it is
// newer. key is that of the configuration or the placement. The history of a
// configuration is dropped: only operators read it, and it would be most of the bytes
// that gateways send.
func (s *State) AdoptStored(key string, value []byte, revision uint64) error {
	const from = "key-value service"
	text, err := compress.GunzipIfCompressed(value)
	if err != nil {
		return errs.Wrap(err, "decode "+key, from)
	}
	if key == placement.Key {
		return s.AdoptPlacement(gateway.Versioned{Value: text, Revision: revision}, from)
	}
	var d operator.Document
	if err := decodeObject(text, &d); err != nil {
		return errs.Wrap(err, "decode configuration", from)
	}
	return s.AdoptConfiguration(gateway.Versioned{Value: d.WithoutHistory().Encode(), Revision: revision}, from)
}
