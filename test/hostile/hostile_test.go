// Package hostile_test attacks the real programs with clients that respect no limit. Its
// tests run one at a time, apart from those of other packages (see the Makefile).
package hostile_test

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Limits of the programs' instances, in both forms. The memory is that of the smallest
// instances in section 6 of docs/design/hard-load.md.
const (
	gatewayMB = 184
	agentMB   = 152
	files     = 300
)

const (
	programs = "../../bin"
	// answerTimeout is the time in which an ordinary request is answered once the attack is
	// over. It allows for a busy machine.
	answerTimeout = 30 * time.Second
	// attemptTimeout bounds one attempt of it.
	attemptTimeout = 5 * time.Second
)

// program is a process that is attacked.
type program struct {
	name     string
	memoryMB int
	pid      func() int
	restart  func() // after a failed case
	// ordinary sends an ordinary request that the process takes part in, and reports
	// whether it was answered.
	ordinary func() bool
	// probes reports whether readiness and metrics are answered.
	probes  func() bool
	targets []target
}

// target is a path of a listener.
type target struct {
	name    string
	address string
	path    string // "" for net/rpc
	header  string // lines
	body    string // of an ordinary request
	method  string // net/rpc method
	call    any    // its argument
}

// head returns the first line and the header of a POST request, without the empty line
// that ends it.
func (t target) head(path, fields string) string {
	return "POST " + path + " HTTP/1.1\r\n" + t.header + fields
}

// request returns an ordinary request.
func (t target) request() string {
	return t.head(t.path, fmt.Sprintf("Content-Length: %d\r\n", len(t.body))) + "\r\n" + t.body
}

func (t target) attacks() []attack {
	if t.method != "" {
		return rpcAttacks
	}
	return httpAttacks
}

// attackAll runs every attack on every target of the program.
func (p program) attackAll(t *testing.T) {
	for _, target := range p.targets {
		for _, a := range target.attacks() {
			t.Run(target.name+"/"+a.name, func(t *testing.T) { p.attack(t, target, a) })
		}
	}
}

// attack guards against clients that end a process, hang it, or make it hold more than its
// instance has.
func (p program) attack(t *testing.T, target target, a attack) {
	t.Cleanup(func() {
		if t.Failed() {
			p.restart()
		}
	})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	peaks := watch(ctx, p.pid())
	probed := false
	a.run(target, func() {
		for deadline := time.Now().Add(answerTimeout); !probed && time.Now().Before(deadline); {
			probed = p.probes()
		}
	})
	cancel()
	peak := <-peaks
	t.Logf("%s, %d clients: %d MB of %d, %d descriptors of %d", p.name, a.clients, peak.residentMB, p.memoryMB, peak.openFiles, files)
	if !alive(p.pid()) {
		t.Fatal("the process has ended")
	}
	if peak.residentMB > p.memoryMB {
		t.Errorf("resident memory: %d MB, the instance has %d MB", peak.residentMB, p.memoryMB)
	}
	if peak.openFiles >= files {
		t.Errorf("open descriptors: %d, limit %d", peak.openFiles, files)
	}
	if !probed {
		t.Error("readiness and metrics are not answered during the attack")
	}
	require.Eventually(t, p.ordinary, answerTimeout, 50*time.Millisecond, "an ordinary request is not answered")
}

// limitedPrograms returns a directory with the programs, whose processes may open few
// files.
func limitedPrograms(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	bin, err := filepath.Abs(programs)
	require.NoError(t, err)
	require.FileExists(t, filepath.Join(bin, "almondreel-gateway"), "build the programs first: make build")
	for _, name := range []string{"almondreel-gateway", "almondreel-agent"} {
		text := fmt.Sprintf("#!/bin/sh\nulimit -n %d\nexec %q \"$@\"\n", files, filepath.Join(bin, name))
		require.NoError(t, os.WriteFile(filepath.Join(dir, name), []byte(text), 0o700))
	}
	for _, name := range []string{"almondreel-standin", "almondreel"} {
		require.NoError(t, os.Symlink(filepath.Join(bin, name), filepath.Join(dir, name)))
	}
	return dir
}

// answers reports whether a GET request is answered with status 200.
func answers(address, path string) bool {
	client := &http.Client{Timeout: attemptTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + address + path)
	if err != nil {
		return false
	}
	return response.Body.Close() == nil && response.StatusCode == http.StatusOK
}
