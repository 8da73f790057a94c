// Package desired holds the configuration and placement that a daemon has in
// force. Revisions only rise: an older one is refused whoever offers it.
package desired

import (
	"encoding/json"
	"errors"
	"sync"

	"almondreel.example/almondreel/internal/errs"
	"almondreel.example/almondreel/internal/event"
	"almondreel.example/almondreel/internal/gateway"
	"almondreel.example/almondreel/internal/invariant"
	"almondreel.example/almondreel/internal/operator"
	"almondreel.example/almondreel/internal/packed"
	"almondreel.example/almondreel/internal/placement"
)

// Snapshot is what is in force at one moment, with the encoded forms to pass on.
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

// NewState returns a state with nothing in force.
func NewState() *State {
	return &State{changed: make(chan struct{})}
}

// Current returns the snapshot and a channel that closes when a newer one is in force.
func (s *State) Current() (Snapshot, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.snapshot, s.changed
}

// AdoptConfiguration puts v in force if it is newer. An empty value is ignored.
func (s *State) AdoptConfiguration(v gateway.Versioned, from string) error {
	if len(v.Value) == 0 {
		return nil
	}
	var d operator.Document
	if err := json.Unmarshal(v.Value, &d); err != nil {
		return errs.Wrap(err, "decode configuration", from)
	}
	v = v.WithPacked()
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.snapshot.EncodedConfiguration.Revision
	if v.Revision <= held {
		older(event.ConfigurationOlder, v.Revision, held, from)
		return nil
	}
	s.replace(s.snapshot.withConfiguration(d, v))
	event.Log(event.ConfigurationAdopted, "Revision", v.Revision, "From", from)
	return nil
}

// AdoptPlacement puts v in force if it is newer. An empty value is ignored.
func (s *State) AdoptPlacement(v gateway.Versioned, from string) error {
	if len(v.Value) == 0 {
		return nil
	}
	var p placement.Placement
	if err := json.Unmarshal(v.Value, &p); err != nil {
		return errs.Wrap(err, "decode placement", from)
	}
	v = v.WithPacked()
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.snapshot.EncodedPlacement.Revision
	if v.Revision <= held {
		older(event.PlacementOlder, v.Revision, held, from)
		return nil
	}
	s.replace(s.snapshot.withPlacement(p, v))
	event.Log(event.PlacementAdopted, "Revision", v.Revision, "From", from)
	return nil
}

func older(n event.Number, offered, held uint64, from string) {
	if offered < held {
		event.Log(n, "Offered", offered, "Held", held, "From", from)
	}
}

// replace puts next in force. Callers hold mu.
func (s *State) replace(next Snapshot) {
	before, after := s.snapshot.Revisions(), next.Revisions()
	rises := after.Configuration >= before.Configuration && after.Placement >= before.Placement && after != before
	invariant.Assert(rises, invariant.RevisionRises, "%+v follows %+v", after, before)
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

// Revisions returns the revisions in force; 0 means none.
func (s Snapshot) Revisions() gateway.Revisions {
	return gateway.Revisions{
		Configuration: s.EncodedConfiguration.Revision,
		Placement:     s.EncodedPlacement.Revision,
	}
}

// Complete reports whether both documents are in force.
func (s Snapshot) Complete() bool {
	r := s.Revisions()
	return r.Configuration > 0 && r.Placement > 0
}

// Newer returns the documents that a daemon with revisions held is behind on.
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

// Behind reports whether a daemon with revisions offered has a newer document.
func (s Snapshot) Behind(offered gateway.Revisions) bool {
	held := s.Revisions()
	return offered.Configuration > held.Configuration || offered.Placement > held.Placement
}

// Adopt puts the newer of the documents in force.
func (s *State) Adopt(d gateway.Documents, from string) error {
	return errors.Join(s.AdoptConfiguration(d.Configuration, from), s.AdoptPlacement(d.Placement, from))
}

// AdoptStored puts the value of one of the two keys of the key-value service in
// force if it is newer. A configuration's history is left out: only operators
// read it and it would be most of the bytes that spread.
func (s *State) AdoptStored(key string, value []byte, revision uint64) error {
	const from = "key-value service"
	text, err := packed.Text(value)
	if err != nil {
		return errs.Wrap(err, "decode "+key, from)
	}
	if key == placement.Key {
		return s.AdoptPlacement(gateway.Versioned{Value: text, Revision: revision}, from)
	}
	var d operator.Document
	if err := json.Unmarshal(text, &d); err != nil {
		return errs.Wrap(err, "decode configuration", from)
	}
	return s.AdoptConfiguration(gateway.Versioned{Value: d.WithoutHistory().Encode(), Revision: revision}, from)
}
