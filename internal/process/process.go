// Package process runs programs for the demo and for end-to-end tests. The daemons
// start no process and never use it.
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

// StopWithin is the time a process gets to end after SIGTERM.
const StopWithin = 15 * time.Second

// Process is one program, running or ended.
type Process struct {
	Name string
	path string
	args []string
	log  string

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{} // closed when the current run has ended
}

// New returns a process that is not started; its log goes to logDir.
func New(name, path, logDir string, args ...string) *Process {
	return &Process{Name: name, path: path, args: args, log: filepath.Join(logDir, name+".log")}
}

// Start runs the program; its output is appended to the process's log file.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	file, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer file.Close()
	cmd := exec.Command(p.path, p.args...)
	cmd.Stdout, cmd.Stderr = file, file
	// The kernel ends the child if the demo or test dies before it stops the site.
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

// Signal sends a signal to the process, if it runs.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.Ended()
}

// Terminate asks the process to end and waits; it is killed if it does not.
// It reports whether the process ended by itself.
func (p *Process) Terminate() bool {
	p.Signal(syscall.SIGCONT)
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.Ended():
		return true
	case <-time.After(StopWithin):
		p.Kill()
		return false
	}
}

// Ended returns a channel that is closed once the current run has ended.
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

// ID returns the operating system's number of the current run; 0 before the first.
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
