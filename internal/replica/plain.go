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

// Plain is the duty for a plain service.
type Plain struct {
	settings settings.Agent
	desired  *desired.State
	board    *serving.Board
}

// NewPlain returns the duty of the agent that s describes.
func NewPlain(s settings.Agent, d *desired.State, b *serving.Board) *Plain {
	return &Plain{settings: s, desired: d, board: b}
}

// Run opens the board while the backend server answers and the instance is placed.
func (p *Plain) Run(ctx context.Context) error {
	ticker := time.NewTicker(plainInterval)
	defer ticker.Stop()
	for {
		snapshot, changed := p.desired.Current()
		placed := len(snapshot.Placement.On(p.settings.Name)) > 0
		answers := service.Answers(ctx, p.settings.Backend.Address) == nil
		p.board.Update(func(s *serving.Status) { s.Open = placed && answers })
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-ticker.C:
		}
	}
}
