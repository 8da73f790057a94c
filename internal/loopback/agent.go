package loopback

import (
	"context"
	"time"

	"almondreel.example/almondreel/internal/desired"
	"almondreel.example/almondreel/internal/heartbeat"
	"almondreel.example/almondreel/internal/placement"
	"almondreel.example/almondreel/internal/serving"
	"almondreel.example/almondreel/internal/settings"
)

const (
	fetchTime       = 300 * time.Millisecond
	loadTime        = 300 * time.Millisecond
	simulatedChunks = 8
)

// Agent is an agent without a data path: it sends heartbeats and simulates its engine
// with timers.
type Agent struct {
	daemon
	Desired   *desired.State
	Tracker   *serving.Tracker
	Heartbeat *heartbeat.Heartbeat
}

// AddAgent starts an agent and adds it to the site. PublishInstances adds it to the
// platform's instance list.
func (s *Site) AddAgent(name, dataCentre string) (*Agent, error) {
	a := &Agent{daemon: daemon{Name: name, DataCentre: dataCentre, site: s}}
	s.setDataCentre(name, dataCentre)
	s.Agents = append(s.Agents, a)
	a.Start()
	return a, nil
}

// Start starts the agent without configuration, placement or loaded version.
func (a *Agent) Start() {
	a.Desired = desired.NewState()
	a.Tracker = serving.NewTracker()
	a.address = "127.0.0.1:1" // placeholder: agents get no calls here
	s := settings.Agent{
		Identity:  settings.Identity{Name: a.Name, Region: a.DataCentre, DataCentre: a.DataCentre},
		Listen:    a.address,
		Instances: a.site.instancesURL,
		Backend:   settings.Backend{Kind: settings.KindEngine, Service: a.site.service},
	}
	a.Heartbeat = heartbeat.New(s, a.Desired, a.Tracker)
	ctx, cancel := context.WithCancel(context.Background())
	a.mu.Lock()
	a.cancel = cancel
	a.mu.Unlock()
	a.start(ctx, a.Heartbeat.Run)
	a.start(ctx, a.runEngine)
}

// runEngine simulates fetching and loading the placed version, one step at a time.
func (a *Agent) runEngine(ctx context.Context) error {
	for ctx.Err() == nil {
		s, changed := a.Desired.Current()
		if !a.applyPlacement(ctx, s.Placement) {
			select {
			case <-changed:
			case <-ctx.Done():
			}
		}
	}
	return ctx.Err()
}

// applyPlacement takes one step towards the placement: it fetches or loads the placed
// version. It reports whether there was a step to take.
func (a *Agent) applyPlacement(ctx context.Context, p placement.Placement) bool {
	mine := p.AssignmentsOn(a.Name)
	if len(mine) == 0 || mine[0].Digest == "" {
		return false
	}
	want := mine[0]
	status := a.Tracker.Status()
	switch {
	case status.Digest == want.Digest:
		return false
	case status.Want != want.Digest || status.Have < status.Chunks:
		a.Tracker.Update(func(s *serving.Status) { s.Want, s.Have, s.Chunks = want.Digest, 0, simulatedChunks })
		sleep(ctx, fetchTime)
		a.Tracker.Update(func(s *serving.Status) { s.Have = simulatedChunks })
		return true
	case !want.MayLoad(a.Name):
		return false
	}
	a.Tracker.Update(func(s *serving.Status) { s.Open, s.Digest = false, "" })
	sleep(ctx, loadTime)
	a.Tracker.Update(func(s *serving.Status) { s.Open, s.Digest = true, want.Digest })
	return true
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
