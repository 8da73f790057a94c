// Package duty runs a program's duties under a supervision tree and stops them together.
package duty

import (
	"context"
	"errors"
	"fmt"
	"os"
	"syscall"

	"github.com/oklog/run"
	"github.com/thejerf/suture/v4"

	"almondreel.example/almondreel/internal/event"
)

// Func is one duty: it runs until its context ends.
type Func func(ctx context.Context) error

type service struct {
	name string
	run  Func
}

// Serve runs the duty for the supervisor.
func (s service) Serve(ctx context.Context) error { return s.run(ctx) }

// String is the duty's name in the supervisor's reports.
func (s service) String() string { return s.name }

// Tree is a supervisor of named duties.
type Tree struct {
	supervisor *suture.Supervisor
}

// NewTree returns an empty tree.
func NewTree(name string) *Tree {
	hook := func(e suture.Event) {
		event.Log(event.DutyFailed, "Detail", e.String())
	}
	return &Tree{supervisor: suture.New(name, suture.Spec{EventHook: hook})}
}

// Add adds a duty; a duty that returns early is started again.
func (t *Tree) Add(name string, f Func) {
	t.supervisor.Add(service{name: name, run: f})
}

// Run serves the duties until ctx ends.
func (t *Tree) Run(ctx context.Context) error {
	err := t.supervisor.Serve(ctx)
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// Together runs parts of one duty, each in a goroutine, and returns when all
// have ended.
func Together(ctx context.Context, parts ...func(context.Context)) error {
	ended := make(chan struct{}, len(parts))
	for _, p := range parts {
		go func() {
			defer func() { ended <- struct{}{} }()
			p(ctx)
		}()
	}
	for range parts {
		<-ended
	}
	return ctx.Err()
}

// Main runs the tree until SIGINT or SIGTERM, then calls drain and stops all.
// drain may be nil.
func Main(program string, tree *Tree, drain func(context.Context)) error {
	var group run.Group
	group.Add(signals())
	ctx, cancel := context.WithCancel(context.Background())
	group.Add(
		func() error { return tree.Run(ctx) },
		func(error) {
			if drain != nil {
				drain(ctx)
			}
			cancel()
		})
	event.Log(event.Started, "Program", program)
	err := group.Run()
	event.Log(event.Stopped, "Program", program)
	if errors.Is(err, run.ErrSignal) {
		return nil
	}
	return err
}

func signals() (func() error, func(error)) {
	return run.SignalHandler(context.Background(), os.Interrupt, syscall.SIGTERM)
}

// Exit prints err and ends the program with the code for bad input or failure.
func Exit(program string, err error, code int) {
	fmt.Fprintf(os.Stderr, "%s: %v\n", program, err)
	os.Exit(code)
}
