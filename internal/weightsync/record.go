package weightsync

import (
	"context"
	"errors"
	"time"

	"almondreel.example/almondreel/internal/event"
	"almondreel.example/almondreel/internal/hostedrpc"
	"almondreel.example/almondreel/internal/pause"
)

// Gateways remember which load an agent had not verified, but all of them may restart
// before the agent's successor has verified it. The load is therefore also recorded in the
// platform's store, from before the order until it is verified. Without the store, orders
// are sent all the same: engines must change over in time.

// ErrRecordRefused reports that the store answered a write of a record and has not carried
// it out. After any other error it may have done so, or may still do so.
var ErrRecordRefused = errors.New("record of unverified load was refused")

// Records is a client of the store in which unverified loads are recorded by engine
// address. A load of version 0 deletes the record.
type Records interface {
	RecordUnverified(ctx context.Context, engine string, l hostedrpc.UnverifiedLoad) error
}

const (
	// recordInterval is how often the record is compared with what the agent has verified.
	recordInterval = 20 * time.Millisecond
	// minRecordPause and maxRecordPause bound the time between two writes of a record of
	// which the first failed; it doubles with each, as the platform charges for every call.
	// A write without an answer may take effect for some time, so that the next one must
	// not follow at once.
	minRecordPause = time.Second
	maxRecordPause = 30 * time.Second
)

// record is what the agent knows of its engine's record in the store.
type record struct {
	held     hostedrpc.UnverifiedLoad // last one that the store holds, or may hold
	unsure   bool                     // the write of held got no answer
	tried    hostedrpc.UnverifiedLoad // by the last write
	retryAt  time.Time                // a write that failed is not repeated before
	failures int
}

// due reports whether a record is to be written. A load that was not tried yet does not
// wait for retryAt, since its order does not wait for long.
func (r record) due(wanted hostedrpc.UnverifiedLoad, now time.Time) bool {
	switch {
	case wanted == r.held && !r.unsure:
		return false
	case wanted.Version != 0 && wanted != r.tried:
		return true
	}
	return !now.Before(r.retryAt)
}

// withWrite returns r after a write of a record that ended with err.
func (r record) withWrite(l hostedrpc.UnverifiedLoad, err error, now time.Time) record {
	r.tried = l
	if err == nil {
		r.held, r.unsure, r.retryAt, r.failures = l, false, time.Time{}, 0
		return r
	}
	if !errors.Is(err, ErrRecordRefused) {
		r.held, r.unsure = l, true
	}
	r.retryAt = now.Add(min(minRecordPause<<min(r.failures, 8), maxRecordPause))
	r.failures++
	return r
}

// recordLoop keeps the record in the store equal to what the agent has not verified, until
// ctx ends.
func (a *Agent) recordLoop(ctx context.Context) {
	for pause.For(ctx, recordInterval) {
		now := time.Now()
		a.mu.Lock()
		wanted := a.wantedRecord(now)
		due := a.Records != nil && a.record.due(wanted, now)
		a.mu.Unlock()
		if !due {
			continue
		}
		err := a.Records.RecordUnverified(ctx, a.EngineAddress, wanted)
		if err != nil && ctx.Err() == nil {
			event.Fail(event.RecordFailed, err, "Engine", a.EngineAddress, "Born", wanted.Born, "Version", wanted.Version)
		}
		a.mu.Lock()
		a.record = a.record.withWrite(wanted, err, time.Now())
		a.mu.Unlock()
	}
}

// wantedRecord returns the load that is to be recorded. A record stays until the engine
// holds its version, or a newer one, by a load that this agent has verified: the order may
// be accepted late, and one that is refused is sent again without two more writes. Callers
// hold mu.
func (a *Agent) wantedRecord(now time.Time) hostedrpc.UnverifiedLoad {
	if version := a.unverifiedVersion(now); version != 0 {
		return hostedrpc.UnverifiedLoad{Born: a.state.Born, Version: version}
	}
	held := a.record.held
	verified := a.engineUp && a.loads.vouchesFor(a.state) && (!a.loads.foundAtStart || a.state.Orders == 0)
	if verified && (a.state.Born != held.Born || a.state.Loaded.Version >= held.Version) {
		return hostedrpc.UnverifiedLoad{}
	}
	return held
}

// hasRecorded reports whether the store holds the record of the order for a version, or
// has failed to. Callers hold mu.
func (a *Agent) hasRecorded(version int64) bool {
	l, r := hostedrpc.UnverifiedLoad{Born: a.state.Born, Version: version}, a.record
	return a.Records == nil || isRecordOf(r.held, l) && !r.unsure || isRecordOf(r.tried, l) && r.failures > 0
}

// isRecordOf reports whether a record covers a load.
func isRecordOf(r, l hostedrpc.UnverifiedLoad) bool {
	return r.Version != 0 && r.Born == l.Born && r.Version <= l.Version
}
