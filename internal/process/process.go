// Package process starts and stops programs and reserves their ports, for the demo and
// end-to-end tests. The daemons do not use it.
package process

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// StopTimeout is the time that Terminate gives a process to exit before it kills it.
const StopTimeout = 15 * time.Second

// Process is a program that can be started, stopped and started again. Its methods are
// safe for concurrent use.
type Process struct {
	Name string
	path string
	args []string
	log  string

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{} // closed when the current run has exited
}

// New returns a process that is not started. Its output will go to logDir/name.log.
func New(name, path, logDir string, args ...string) *Process {
	return &Process{Name: name, path: path, args: args, log: filepath.Join(logDir, name+".log")}
}

// Start starts the program and appends its output to the log file. A running process must
// not be started again.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	file, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer file.Close()
	cmd := p.Command()
	cmd.Stdout, cmd.Stderr = file, file
	// The kernel kills the child if the demo or test exits before it stops the site.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.Name, err)
	}
	ended := make(chan struct{})
	p.cmd, p.ended = cmd, ended
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	return nil
}

// Command returns a command that runs the program with the process's arguments, for a
// caller that connects its output itself.
func (p *Process) Command() *exec.Cmd { return exec.Command(p.path, p.args...) }

// Signal sends a signal to the process, if it has been started. Errors, as for a process
// that has exited, are ignored.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// Kill kills the process and waits until it has exited.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.Ended()
}

// Terminate sends SIGTERM, also to a suspended process, and waits until it has exited. It
// kills the process after StopTimeout. It reports whether the process exited before that.
func (p *Process) Terminate() bool {
	p.Signal(syscall.SIGCONT)
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.Ended():
		return true
	case <-time.After(StopTimeout):
		p.Kill()
		return false
	}
}

// Ended returns a channel that is closed once the current run has exited; it is closed
// already if the process was never started.
func (p *Process) Ended() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended == nil {
		closed := make(chan struct{})
		close(closed)
		return closed
	}
	return p.ended
}

// ID returns the process identifier of the latest run; 0 before the first.
func (p *Process) ID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.cmd.Process == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// Log returns the path of the process's log file.
func (p *Process) Log() string { return p.log }
