// Package supervisor runs a daemon's background tasks under a supervision tree, restarts
// tasks that fail, and stops all of them on a signal.
package supervisor

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/oklog/run"
	"github.com/thejerf/suture/v4"

	"almondreel.example/almondreel/internal/event"
	"almondreel.example/almondreel/internal/signals"
)

// Task is a background task. It runs until its context ends.
type Task func(ctx context.Context) error

type namedTask struct {
	name string
	run  Task
}

// Serve runs the task; it implements suture.Service.
func (t namedTask) Serve(ctx context.Context) error { return t.run(ctx) }

// String returns the task's name for the supervisor's events.
func (t namedTask) String() string { return t.name }

// Tree is a supervision tree of named tasks.
type Tree struct {
	supervisor *suture.Supervisor
}

// NewTree returns an empty tree that logs failed tasks.
func NewTree(name string) *Tree {
	hook := func(e suture.Event) {
		event.Log(event.TaskFailed, "Detail", e.String())
	}
	return &Tree{supervisor: suture.New(name, suture.Spec{EventHook: hook})}
}

// Add adds a task. A task that returns before the tree stops is restarted.
func (t *Tree) Add(name string, task Task) {
	t.supervisor.Add(namedTask{name: name, run: task})
}

// Run runs the tasks until ctx ends, and returns nil then.
func (t *Tree) Run(ctx context.Context) error {
	err := t.supervisor.Serve(ctx)
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// RunAll runs the parts of one task, each in its own goroutine, and returns ctx.Err()
// when all have returned.
func RunAll(ctx context.Context, tasks ...func(context.Context)) error {
	done := make(chan struct{}, len(tasks))
	for _, task := range tasks {
		go func() {
			defer func() { done <- struct{}{} }()
			task(ctx)
		}()
	}
	for range tasks {
		<-done
	}
	return ctx.Err()
}

// Main runs the tree until a signal to stop, then calls drain, which may be nil, and
// stops the tree. Further signals do not shorten the drain. Main returns nil after a
// signal.
func Main(program string, s *signals.Signals, tree *Tree, drain func(context.Context)) error {
	var group run.Group
	group.Add(stopActor(s))
	ctx, cancel := context.WithCancel(context.Background())
	group.Add(
		func() error { return tree.Run(ctx) },
		func(err error) {
			event.Log(event.Stopping, "Program", program, "Cause", fmt.Sprint(err))
			if drain != nil {
				ignoreStops(ctx, s, func() { drain(ctx) })
			}
			cancel()
		})
	event.Log(event.Started, "Program", program)
	err := group.Run()
	event.Log(event.Stopped, "Program", program)
	if _, ok := err.(stopSignal); ok {
		return nil
	}
	return err
}

// stopSignal is the reason for a stop that was asked for by a signal.
type stopSignal struct{ os.Signal }

// Error returns the signal's name.
func (s stopSignal) Error() string { return s.String() }

// stopActor returns the actor that ends the run group on the first signal to stop.
func stopActor(s *signals.Signals) (func() error, func(error)) {
	ctx, cancel := context.WithCancel(context.Background())
	return func() error {
		select {
		case received := <-s.Stops():
			return stopSignal{received}
		case <-ctx.Done():
			return ctx.Err()
		}
	}, func(error) { cancel() }
}

// ignoreStops runs drain and logs the signals to stop that arrive meanwhile.
func ignoreStops(ctx context.Context, s *signals.Signals, drain func()) {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-ctx.Done():
				return
			case received := <-s.Stops():
				event.Log(event.StopRepeated, "Signal", received.String())
			}
		}
	}()
	drain()
	cancel()
	<-done
}

// exitWriteTimeout bounds the time to write the last error, whose reader may have stalled.
const exitWriteTimeout = 200 * time.Millisecond

// Exit prints err to standard error and exits with code, whether or not the error can be
// written.
func Exit(program string, err error, code int) {
	written := make(chan struct{})
	go func() {
		defer close(written)
		fmt.Fprintf(os.Stderr, "%s: %v\n", program, err)
	}()
	select {
	case <-written:
	case <-time.After(exitWriteTimeout):
	}
	os.Exit(code)
}
