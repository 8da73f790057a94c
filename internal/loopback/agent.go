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
	fetchTime  = 300 * time.Millisecond
	loadTime   = 300 * time.Millisecond
	fakeChunks = 8
)

// Agent is the control part of an agent beside an engine that is a timer.
type Agent struct {
	daemon
	Desired   *desired.State
	Board     *serving.Board
	Heartbeat *heartbeat.Heartbeat
}

// AddAgent starts an agent. Call List to have it listed.
func (s *Site) AddAgent(name, dataCentre string) (*Agent, error) {
	a := &Agent{daemon: daemon{Name: name, DataCentre: dataCentre, site: s}}
	s.settle(name, dataCentre)
	s.Agents = append(s.Agents, a)
	a.Start()
	return a, nil
}

// Start starts the agent, with nothing in force and nothing served.
func (a *Agent) Start() {
	a.Desired = desired.NewState()
	a.Board = serving.NewBoard()
	a.address = "127.0.0.1:1" // nothing asks an agent here
	s := settings.Agent{
		Identity:  settings.Identity{Name: a.Name, Region: a.DataCentre, DataCentre: a.DataCentre},
		Listen:    a.address,
		Instances: a.site.instancesURL,
		Backend:   settings.Backend{Kind: settings.KindEngine, Service: a.site.service},
	}
	a.Heartbeat = heartbeat.New(s, a.Desired, a.Board)
	ctx, cancel := context.WithCancel(context.Background())
	a.mu.Lock()
	a.cancel = cancel
	a.mu.Unlock()
	a.run(ctx, a.Heartbeat.Run)
	a.run(ctx, a.engine)
}

// engine fetches and loads what the placement says, one order at a time.
func (a *Agent) engine(ctx context.Context) error {
	for ctx.Err() == nil {
		s, changed := a.Desired.Current()
		if !a.follow(ctx, s.Placement) {
			select {
			case <-changed:
			case <-ctx.Done():
			}
		}
	}
	return ctx.Err()
}

// follow takes one step towards the placement and reports whether it did.
func (a *Agent) follow(ctx context.Context, p placement.Placement) bool {
	mine := p.On(a.Name)
	if len(mine) == 0 || mine[0].Digest == "" {
		return false
	}
	want := mine[0]
	status := a.Board.Status()
	switch {
	case status.Digest == want.Digest:
		return false
	case status.Want != want.Digest || status.Have < status.Chunks:
		a.Board.Update(func(b *serving.Status) { b.Want, b.Have, b.Chunks = want.Digest, 0, fakeChunks })
		wait(ctx, fetchTime)
		a.Board.Update(func(b *serving.Status) { b.Have = fakeChunks })
		return true
	case !want.MayLoad(a.Name):
		return false
	}
	a.Board.Update(func(b *serving.Status) { b.Open, b.Digest = false, "" })
	wait(ctx, loadTime)
	a.Board.Update(func(b *serving.Status) { b.Open, b.Digest = true, want.Digest })
	return true
}

func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
