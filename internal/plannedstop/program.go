package plannedstop

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"almondreel.example/almondreel/internal/errs"
	"almondreel.example/almondreel/internal/pause"
)

// startTime is the longest time from a process's start to its first instruction, on a
// computer with twice as many busy processes as processors. A signal before that ends the
// process, since no handler can be installed yet.
const startTime = 300 * time.Millisecond

// startProcessorTime is the processor time that a daemon takes until it handles signals, at
// least. A process that ended with less had not run that far, however long ago it started.
const startProcessorTime = 6 * time.Millisecond

// Program is a program that is stopped and started again. Its methods are safe for
// concurrent use, but only one may stop it at a time.
type Program struct {
	Name    string
	grace   time.Duration // from the first signal to stop until the program is killed
	command func() *exec.Cmd

	mu        sync.Mutex
	process   *exec.Cmd
	startedAt time.Time
	ended     chan struct{} // closed when the process has ended
	exit      error         // how it ended, once ended is closed
	output    *output
	problems  []string
	stops     int
	downtimes []Downtime
	text      text
}

// Downtime is a time in which a program ends or does not run.
type Downtime struct {
	From time.Time // of the first signal to stop, or of its start if it ended without one
	To   time.Time // of its next start; zero: it has not been started since
}

// New returns a program that is not started; command returns a command that runs it.
// Programs start with the default actions of signals. A test that a shell runs in the
// background may ignore some of them, and a program would inherit that: a signal in its
// first milliseconds would be discarded.
func New(name string, grace time.Duration, command func() *exec.Cmd) *Program {
	for _, s := range []os.Signal{syscall.SIGINT, syscall.SIGHUP} {
		if signal.Ignored(s) {
			signal.Notify(make(chan os.Signal, 1), s)
		}
	}
	return &Program{Name: name, grace: grace, command: command}
}

// Start starts the program, which must not run.
func (p *Program) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	out, writer, err := newOutput(&p.text)
	if err != nil {
		return errs.Wrap(err, "start program", p.Name)
	}
	defer writer.Close()
	c := p.command()
	c.Stdout, c.Stderr = writer, writer
	// The kernel kills the child if the test exits before it stops it.
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	p.startedAt = time.Now()
	if last := len(p.downtimes) - 1; last >= 0 && p.downtimes[last].To.IsZero() {
		p.downtimes[last].To = p.startedAt
	}
	if err := c.Start(); err != nil {
		return errs.Wrap(err, "start program", p.Name)
	}
	p.process, p.output, p.ended = c, out, make(chan struct{})
	go func(ended chan struct{}) {
		err := c.Wait()
		p.mu.Lock()
		p.exit = err
		p.beginDowntime(p.startedAt) // a hangup just after the start may end a program
		p.mu.Unlock()
		close(ended)
	}(p.ended)
	return nil
}

// Kill kills the program and waits for its end.
func (p *Program) Kill() {
	p.signal(syscall.SIGKILL)
	<-p.end()
}

func (p *Program) end() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ended
}

// signal sends a signal to the process, unless it has ended.
func (p *Program) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s != syscall.SIGHUP {
		p.beginDowntime(time.Now())
	}
	_ = p.process.Process.Signal(s) // the process may have ended
}

// beginDowntime records a downtime, unless one has begun since the last start. Callers hold mu.
func (p *Program) beginDowntime(from time.Time) {
	if last := len(p.downtimes) - 1; last < 0 || !p.downtimes[last].To.IsZero() {
		p.downtimes = append(p.downtimes, Downtime{From: from})
	}
}

// Run stops and restarts the program at random times until ctx ends. Each of its runs
// lasts at most maxWait before it is stopped. The program runs when Run returns.
func (p *Program) Run(ctx context.Context, r *rand.Rand, maxWait time.Duration) error {
	for ctx.Err() == nil {
		s := Random(r, maxWait)
		if ended := p.waitForStop(ctx, s.Wait); !ended {
			if ctx.Err() != nil {
				return nil
			}
			if ended = p.stop(s); !ended {
				continue
			}
		}
		time.Sleep(s.Down)
		if err := p.Start(); err != nil {
			return err
		}
	}
	return nil
}

// waitForStop waits until wait after the program's start and reports whether the program
// has ended before.
func (p *Program) waitForStop(ctx context.Context, wait time.Duration) (ended bool) {
	p.mu.Lock()
	at := p.startedAt.Add(wait)
	p.mu.Unlock()
	select {
	case <-p.end():
		if !p.endedAtStart() { // by a hangup that was still pending
			p.addProblem("ended without a signal: %v", p.exit)
		}
		return true
	case <-ctx.Done():
	case <-time.After(time.Until(at)):
	}
	return false
}

// stop carries out s and reports whether the program has ended. It kills the program at
// the end of its grace period. A program that ends otherwise than by its own exit with
// status 0, or without a signal to stop, is a problem.
func (p *Program) stop(s Stop) (ended bool) {
	p.mu.Lock()
	early := time.Since(p.startedAt) < startTime
	p.output.set(s.Reader)
	p.stops++
	end := p.ended
	p.mu.Unlock()
	p.text.note("%s: stop %+v", p.Name, s.Steps)
	ctx, cancel := context.WithCancel(context.Background())
	sent, killAt := p.send(ctx, s.Steps)
	defer func() {
		cancel()
		<-sent // no signal after it
	}()
	switch {
	case s.ends():
		if !p.waitForEnd(end, killAt) {
			return true
		}
	default:
		select {
		case <-sent:
		case <-end:
		}
		time.Sleep(startTime) // a hangup takes effect meanwhile
	}
	select {
	case <-end:
	default:
		return false
	}
	if !early { // a signal before the first instruction ends a program
		p.checkExit(s)
	}
	return true
}

// send sends the signals of the steps until ctx ends. The first channel is closed when it
// has ended, the second holds the time at which the grace period ends, once it has begun.
func (p *Program) send(ctx context.Context, steps []Step) (<-chan struct{}, <-chan time.Time) {
	sent, killAt := make(chan struct{}), make(chan time.Time, 1)
	go func() {
		defer close(sent)
		stopping := false
		for _, step := range steps {
			pause.For(ctx, step.Pause)
			if ctx.Err() != nil {
				return
			}
			p.signal(step.Signal)
			if step.Signal != syscall.SIGHUP && !stopping {
				stopping = true
				killAt <- time.Now().Add(p.grace)
			}
		}
	}()
	return sent, killAt
}

// waitForEnd waits until the program ends by itself. It kills the program at the end of
// its grace period, and reports false then.
func (p *Program) waitForEnd(end <-chan struct{}, killAt <-chan time.Time) bool {
	select {
	case <-end:
		return true
	case at := <-killAt:
		select {
		case <-end:
			return true
		case <-time.After(time.Until(at)):
		}
	}
	p.addProblem("did not end within %v of the first signal to stop", p.grace)
	p.Kill()
	return false
}

// endedAtStart reports whether a signal to stop or a hangup ended the process before it
// handled signals.
func (p *Program) endedAtStart() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := p.process.ProcessState
	status, ok := state.Sys().(syscall.WaitStatus)
	if !ok || !status.Signaled() || state.UserTime()+state.SystemTime() >= startProcessorTime {
		return false
	}
	switch status.Signal() {
	case syscall.SIGHUP, syscall.SIGINT, syscall.SIGTERM:
		return true
	}
	return false
}

// checkExit adds a problem if the program, which s has ended, ended otherwise than by its
// own exit with status 0, or without a signal to stop.
func (p *Program) checkExit(s Stop) {
	p.mu.Lock()
	exit, state, startedAt := p.exit, p.process.ProcessState, p.startedAt
	p.mu.Unlock()
	if p.endedAtStart() {
		return
	}
	cause := "signal"
	if !s.ends() {
		cause = "hangup"
	}
	if exit != nil || !s.ends() {
		p.addProblem("was ended by a %s: %v, started at %s, used %v of the processor", cause, exit, startedAt.Format(timeLayout), state.UserTime()+state.SystemTime())
	}
}

func (p *Program) addProblem(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.problems = append(p.problems, fmt.Sprintf("%s: %s %s", time.Now().Format(timeLayout), p.Name, fmt.Sprintf(format, args...)))
}

// Problems returns a line for each time that the program did not end as it must.
func (p *Program) Problems() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.problems...)
}

// Stops returns the number of stops so far.
func (p *Program) Stops() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stops
}

// Downtimes returns the times in which the program ended or did not run, in order.
func (p *Program) Downtimes() []Downtime {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]Downtime(nil), p.downtimes...)
}

// Log returns the output that was read, with a line for each stop.
func (p *Program) Log() string { return p.text.String() }
