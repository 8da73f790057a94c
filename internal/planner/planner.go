// Package planner keeps the placement in step with the configuration and the
// members.
//
// Whichever gateway holds the duty plans. The duty's lease only saves double
// work: what makes a plan safe is that it is written by compare-and-swap on the
// placement it was made from, and that a new holder's first act is such a write.
package planner

import (
	"context"
	"encoding/json"
	"time"

	"github.com/google/uuid"

	"almondreel.example/almondreel/internal/counter"
	"almondreel.example/almondreel/internal/desired"
	"almondreel.example/almondreel/internal/duty"
	"almondreel.example/almondreel/internal/event"
	"almondreel.example/almondreel/internal/gateway"
	"almondreel.example/almondreel/internal/kv"
	"almondreel.example/almondreel/internal/membership"
	"almondreel.example/almondreel/internal/operator"
	"almondreel.example/almondreel/internal/packed"
	"almondreel.example/almondreel/internal/pause"
	"almondreel.example/almondreel/internal/placement"
	"almondreel.example/almondreel/internal/plan"
	"almondreel.example/almondreel/internal/settings"
	"almondreel.example/almondreel/pkg/settle"
)

const (
	planInterval = time.Second
	planSpacing  = 200 * time.Millisecond
	writeTimeout = 10 * time.Second
)

// Planner plans while it holds the duty.
type Planner struct {
	self     string
	desired  *desired.State
	table    *membership.Table
	kv       *kv.Client
	lease    *lease
	resolver *resolver
	granted  map[turn]time.Time // when an instance was let load a version
	fenced   uint64             // term of the duty that has written a placement
}

// New returns the planner of the gateway that s describes.
func New(s settings.Gateway, d *desired.State, t *membership.Table, k *kv.Client) *Planner {
	return &Planner{
		self:     s.Name,
		desired:  d,
		table:    t,
		kv:       k.For("Planning"),
		lease:    newLease(s.Name, t, k.For("Duty")),
		resolver: newResolver(s.Origin),
		granted:  map[turn]time.Time{},
	}
}

// Run seeks the duty and plans while it is held, until ctx ends.
func (p *Planner) Run(ctx context.Context) error {
	return duty.Together(ctx, p.lease.run, p.resolver.run, p.plan)
}

func (p *Planner) plan(ctx context.Context) {
	term := uint64(0) // of the duty, for which both documents were read
	for ctx.Err() == nil {
		_, changed := p.desired.Current()
		news := p.table.Changed()
		held, now := p.lease.held(time.Now())
		if held && now != term {
			held = p.refresh(ctx)
		}
		if held {
			term = now
			p.step(ctx, now)
		}
		p.pause(ctx, changed, news)
	}
}

func (p *Planner) pause(ctx context.Context, changed, news <-chan struct{}) {
	pause.For(ctx, planSpacing)
	timer := time.NewTimer(planInterval - planSpacing)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-changed:
	case <-news:
	case <-p.resolver.resolved:
	}
}

// refresh reads both documents, so that a new holder does not start from what
// it happened to hold.
func (p *Planner) refresh(ctx context.Context) bool {
	for _, key := range []string{operator.ConfigurationKey, placement.Key} {
		e, err := p.kv.Get(ctx, key)
		if err != nil {
			return false
		}
		if e.Revision == 0 {
			continue
		}
		if err := p.desired.AdoptStored(key, e.Value, e.Revision); err != nil {
			event.Fail(event.DocumentUndecodable, err, "Key", key)
			return false
		}
	}
	return true
}

// step plans once and writes the plan if it differs from what stands, or if
// this term of the duty has not written yet: the first write moves the revision
// on, so that an earlier holder's plans meet another one.
func (p *Planner) step(ctx context.Context, term uint64) {
	s, _ := p.desired.Current()
	if s.Configuration.Revision == 0 || s.Placement.PlannedFrom > s.Configuration.Revision {
		return // an older configuration than the one that was planned from
	}
	now := time.Now()
	next := plan.Make(plan.Input{
		Configuration: s.Configuration,
		Current:       s.Placement,
		Members:       p.table.EntriesAt(now),
		Gone:          func(name string) bool { return p.table.Gone(name, now) },
		Digest:        p.resolver.digest,
		Stuck:         func(instance string, a placement.Assignment) bool { return p.stuck(turn{instance, a.Digest}, now) },
		Now:           now,
	})
	p.remember(next, now)
	next.Holder = p.self
	if p.fenced == term && next.Same(s.Placement) {
		return
	}
	p.logShort(s.Configuration, s.Placement, next)
	if p.write(ctx, s.Placement.Revision, next) {
		p.fenced = term
	}
}

// logShort logs each class that comes to have fewer instances than its target.
func (p *Planner) logShort(d operator.Document, held, next placement.Placement) {
	for _, c := range d.Classes {
		before, _ := held.Of(c.Name)
		now, _ := next.Of(c.Name)
		if len(now.Instances) < c.Target.Replicas && len(now.Instances) != len(before.Instances) {
			counter.Add("TargetsShort", 1)
			event.Log(event.TargetShort, "Class", c.Name, "Instances", len(now.Instances), "Replicas", c.Target.Replicas)
		}
	}
}

// write reports whether the placement was written.
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
	if len(text) > packed.MaxBytes {
		counter.Add("PlacementRefused.TooLarge", 1)
		event.Log(event.PlacementTooLarge, "Bytes", len(text), "Most", packed.MaxBytes)
		return false
	}
	key := kv.Key{Client: p.kv, Name: placement.Key}
	w := settle.Write{Value: packed.Pack(text), Revision: base, Trace: func(e settle.Entry) settle.Trace { return traceIn(e, next.ChangeID) }}
	return p.written(text, settle.Do(ctx, key, w))
}

func (p *Planner) written(text []byte, outcome settle.Outcome) bool {
	switch o := outcome.(type) {
	case settle.Accepted:
		counter.Add("PlacementsWritten", 1)
		event.Log(event.PlacementWritten, "Revision", o.Revision)
		_ = p.desired.AdoptPlacement(gateway.Versioned{Value: text, Revision: o.Revision}, p.self)
		return true
	case settle.Rejected:
		counter.Add("PlacementRefused.Fenced", 1)
		event.Log(event.DutyFenced, "Current", o.Current.Revision)
		_ = p.desired.AdoptStored(placement.Key, o.Current.Value, o.Current.Revision)
	case settle.NotWritten:
		counter.Add("PlacementRefused.Unavailable", 1)
	case settle.Unknown:
		counter.Add("PlacementRefused.Unknown", 1)
	}
	return false
}

// traceIn recognises a placement that this write made. A placement remembers
// only its own write, so any other proves nothing about an earlier one.
func traceIn(e settle.Entry, changeID string) settle.Trace {
	text, err := packed.Text(e.Value)
	if err != nil {
		return settle.Forgotten
	}
	var held placement.Placement
	if json.Unmarshal(text, &held) == nil && held.ChangeID == changeID {
		return settle.Present
	}
	return settle.Absent
}
