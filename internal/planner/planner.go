// Package planner runs on every gateway and, while that gateway holds the planner
// lease, recomputes the placement from the configuration and the members and
// writes it to the key-value service.
//
// The lease only avoids duplicate work; it does not make a write safe. Each
// placement is written by compare-and-swap on the one it was computed from, and a
// new holder first makes such a write, which fences off earlier holders.
package planner

import (
	"context"
	"encoding/json"
	"time"

	"github.com/google/uuid"

	"almondreel.example/almondreel/internal/compress"
	"almondreel.example/almondreel/internal/counter"
	"almondreel.example/almondreel/internal/desired"
	"almondreel.example/almondreel/internal/event"
	"almondreel.example/almondreel/internal/gateway"
	"almondreel.example/almondreel/internal/kv"
	"almondreel.example/almondreel/internal/membership"
	"almondreel.example/almondreel/internal/operator"
	"almondreel.example/almondreel/internal/pause"
	"almondreel.example/almondreel/internal/placement"
	"almondreel.example/almondreel/internal/plan"
	"almondreel.example/almondreel/internal/settings"
	"almondreel.example/almondreel/internal/supervisor"
	"almondreel.example/almondreel/pkg/condwrite"
)

const (
	maxPlanInterval = time.Second            // also without a change
	minPlanInterval = 200 * time.Millisecond // also if changes come faster
	writeTimeout    = 10 * time.Second
)

// Planner computes and writes placements while its gateway holds the planner lease.
type Planner struct {
	self          string
	desired       *desired.State
	table         *membership.Table
	kv            *kv.Client
	lease         *lease
	resolver      *resolver
	loadAllowedAt map[loadPermit]time.Time // when an instance was first allowed to load a version
	writtenTerm   uint64                   // last lease term in which a placement was written
	// undecodable is the revision of a stored placement that cannot be decoded; it is
	// replaced.
	undecodable uint64
}

// New returns the planner of the gateway that s describes.
func New(s settings.Gateway, d *desired.State, t *membership.Table, k *kv.Client) *Planner {
	return &Planner{
		self:          s.Name,
		desired:       d,
		table:         t,
		kv:            k.WithPurpose("Planning"),
		lease:         newLease(s.Name, t, k.WithPurpose("Duty")),
		resolver:      newResolver(s.Origin),
		loadAllowedAt: map[loadPermit]time.Time{},
	}
}

// Run competes for the planner lease and plans while it is held, until ctx ends.
// It returns the error of ctx.
func (p *Planner) Run(ctx context.Context) error {
	return supervisor.RunAll(ctx, p.lease.run, p.resolver.run, p.runPlanning)
}

func (p *Planner) runPlanning(ctx context.Context) {
	term := uint64(0) // lease term for which both documents were read
	for ctx.Err() == nil {
		_, changed := p.desired.Current()
		membersChanged := p.table.Changed()
		held, currentTerm := p.lease.held(time.Now())
		if held && currentTerm != term {
			held = p.readDocuments(ctx)
		}
		if held {
			term = currentTerm
			p.planOnce(ctx, currentTerm)
		}
		p.waitForChange(ctx, changed, membersChanged)
	}
}

func (p *Planner) waitForChange(ctx context.Context, changed, membersChanged <-chan struct{}) {
	pause.For(ctx, minPlanInterval)
	timer := time.NewTimer(maxPlanInterval - minPlanInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-changed:
	case <-membersChanged:
	case <-p.resolver.resolved:
	}
}

// readDocuments reads the configuration and the placement from the key-value
// service, so that a new holder does not plan from outdated local copies. It
// returns false if a document cannot be read, or a configuration cannot be decoded.
func (p *Planner) readDocuments(ctx context.Context) bool {
	for _, key := range []string{operator.ConfigurationKey, placement.Key} {
		e, err := p.kv.Get(ctx, key)
		if err != nil {
			return false
		}
		if e.Revision == 0 {
			continue
		}
		if key == placement.Key {
			p.adoptPlacement(e.Value, e.Revision)
			continue
		}
		if err := p.desired.AdoptStored(key, e.Value, e.Revision); err != nil {
			event.Fail(event.DocumentUndecodable, err, "Key", key)
			return false
		}
	}
	return true
}

// adoptPlacement adopts a stored placement, or notes that it is to be replaced.
func (p *Planner) adoptPlacement(value []byte, revision uint64) {
	if err := p.desired.AdoptStored(placement.Key, value, revision); err != nil {
		event.Fail(event.DocumentUndecodable, err, "Key", placement.Key, "Revision", revision)
		p.undecodable = revision
	}
}

// planOnce computes a placement and writes it if the assignments changed or if
// nothing was written in this lease term yet. The first write of a term raises the
// revision, so that writes of an earlier holder fail with a conflict.
func (p *Planner) planOnce(ctx context.Context, term uint64) {
	s, _ := p.desired.Current()
	if s.Configuration.Revision == 0 || s.Placement.PlannedFrom > s.Configuration.Revision {
		return // the placement was computed from a newer configuration
	}
	now := time.Now()
	next := plan.Make(plan.Input{
		Configuration: s.Configuration,
		Current:       s.Placement,
		Members:       p.table.EntriesAt(now),
		Gone:          func(name string) bool { return p.table.Gone(name, now) },
		Digest:        p.resolver.digest,
		LoadTimedOut: func(instance string, a placement.Assignment) bool {
			return p.loadTimedOut(loadPermit{instance, a.Digest}, now)
		},
		Now: now,
	})
	p.recordLoadTimes(next, now)
	next.Holder = p.self
	base := max(s.Placement.Revision, p.undecodable)
	if p.writtenTerm == term && base == s.Placement.Revision && next.SameAssignments(s.Placement) {
		return
	}
	p.logShortfalls(s.Configuration, s.Placement, next)
	if p.write(ctx, base, next) {
		p.writtenTerm = term
	}
}

// logShortfalls logs each class whose number of instances changes with next and is
// below its target.
func (p *Planner) logShortfalls(configuration operator.Document, current, next placement.Placement) {
	for _, c := range configuration.Classes {
		before, _ := current.Assignment(c.Name)
		after, _ := next.Assignment(c.Name)
		if len(after.Instances) < c.Target.Replicas && len(after.Instances) != len(before.Instances) {
			counter.Add("TargetsShort", 1)
			event.Log(event.TargetUnmet, "Class", c.Name, "Instances", len(after.Instances), "Replicas", c.Target.Replicas)
		}
	}
}

// write writes next if the placement in the key-value service is still at
// revision base. It reports whether next was written.
func (p *Planner) write(ctx context.Context, base uint64, next placement.Placement) bool {
	if held, _ := p.lease.held(time.Now()); !held {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	next.ChangeID = uuid.NewString()
	text, err := json.Marshal(next)
	if err != nil {
		panic(err)
	}
	if len(text) > compress.MaxBytes {
		counter.Add("PlacementRefused.TooLarge", 1)
		event.Log(event.PlacementTooLarge, "Bytes", len(text), "Most", compress.MaxBytes)
		return false
	}
	key := kv.Key{Client: p.kv, Name: placement.Key}
	w := condwrite.Write{Value: compress.Gzip(text), Revision: base, Presence: func(e condwrite.Entry) condwrite.Presence { return presenceOf(e, next.ChangeID) }}
	return p.handleOutcome(text, condwrite.Do(ctx, key, w))
}

func (p *Planner) handleOutcome(text []byte, outcome condwrite.Outcome) bool {
	switch result := outcome.(type) {
	case condwrite.Accepted:
		counter.Add("PlacementsWritten", 1)
		event.Log(event.PlacementWritten, "Revision", result.Revision)
		_ = p.desired.AdoptPlacement(gateway.Versioned{Value: text, Revision: result.Revision}, p.self)
		return true
	case condwrite.Rejected:
		counter.Add("PlacementRefused.Fenced", 1)
		event.Log(event.PlacementConflict, "Current", result.Current.Revision)
		p.adoptPlacement(result.Current.Value, result.Current.Revision)
	case condwrite.NotWritten:
		counter.Add("PlacementRefused.Unavailable", 1)
	case condwrite.Unknown:
		counter.Add("PlacementRefused.Unknown", 1)
	}
	return false
}

// presenceOf reports whether e holds the placement that was written with
// changeID. A placement carries only the ID of its own write, so another ID does
// not show whether an earlier write took effect.
func presenceOf(e condwrite.Entry, changeID string) condwrite.Presence {
	text, err := compress.GunzipIfCompressed(e.Value)
	if err != nil {
		return condwrite.Indeterminate
	}
	var stored placement.Placement
	if json.Unmarshal(text, &stored) == nil && stored.ChangeID == changeID {
		return condwrite.Present
	}
	return condwrite.Absent
}
