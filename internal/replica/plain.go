package replica

import (
	"context"
	"time"

	"almondreel.example/almondreel/internal/desired"
	"almondreel.example/almondreel/internal/service"
	"almondreel.example/almondreel/internal/serving"
	"almondreel.example/almondreel/internal/settings"
)

const plainInterval = 300 * time.Millisecond

// PlainReconciler reconciles the backend server of a plain service with the placement.
type PlainReconciler struct {
	settings settings.Agent
	desired  *desired.State
	status   *serving.Tracker
}

// NewPlainReconciler returns a reconciler for the backend server of the agent with
// settings s.
func NewPlainReconciler(s settings.Agent, d *desired.State, t *serving.Tracker) *PlainReconciler {
	return &PlainReconciler{settings: s, desired: d, status: t}
}

// Run keeps the status open while the backend server accepts connections and the
// instance is placed. It returns ctx's error when ctx ends.
func (p *PlainReconciler) Run(ctx context.Context) error {
	ticker := time.NewTicker(plainInterval)
	defer ticker.Stop()
	for {
		snapshot, changed := p.desired.Current()
		placed := len(snapshot.Placement.AssignmentsOn(p.settings.Name)) > 0
		reachable := service.Probe(ctx, p.settings.Backend.Address) == nil
		p.status.Update(func(s *serving.Status) { s.Open = placed && reachable })
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-ticker.C:
		}
	}
}
