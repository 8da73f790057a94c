package hosting_test

import (
	"bytes"
	"fmt"
	"net/http"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/platform/standin"
)

// standIn starts the stand-in program until the test ends.
func standIn(t *testing.T, args ...string) {
	t.Helper()
	out := &log{}
	command := exec.Command(filepath.Join(programs, "almondreel-standin"), args...)
	command.Stdout, command.Stderr = out, out
	require.NoError(t, command.Start(), "build the programs first: make build")
	t.Cleanup(func() {
		_ = command.Process.Kill()
		_ = command.Wait()
		if t.Failed() {
			t.Logf("%v wrote:\n%s", args, out)
		}
	})
}

// The stand-in program plays the platform for programs that are started by hand,
// and its store's switches are set over HTTP.
func TestTheStandInProgramPlaysThePlatform(t *testing.T) {
	s := newSite(t)
	store, origin, engine := s.ports.Take(), s.ports.Take(), s.ports.Take()
	standIn(t, "hosting-origin", "--listen", origin)
	standIn(t, "hosting-store", "--listen", store, "--origin", origin, "--key", key)
	s.soon(5*time.Second, "the store answers", func() bool {
		response, err := http.Get("http://" + store + "/faults")
		if err != nil {
			return false
		}
		return response.Body.Close() == nil && response.StatusCode == http.StatusOK
	})
	standIn(t, "hosting-engine", "--listen", engine, "--id", "i-1", "--store", store, "--data-centre", "north-a", "--event-ms", "5")
	g := &program{name: "gateway-0", program: "almondreel-gateway", log: &log{}, callers: s.ports.Take(), ready: s.ports.Take(), control: s.ports.Take()}
	s.gateways = []*program{g}
	s.settings(g, store, []string{g.control}, gatewaySettings(g))
	a := &program{name: "agent-0", program: "almondreel-agent", log: &log{}}
	s.settings(a, store, []string{g.control}, agentSettings(s.ports.Take(), engine))
	s.serves(0, 1, 10*time.Second)

	request, err := http.NewRequest(http.MethodPut, "http://"+store+"/faults", bytes.NewReader([]byte(`{"Busy": true}`)))
	require.NoError(t, err)
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusOK, response.StatusCode)
	g.kill()
	g.start(t)
	s.soon(5*time.Second, "ready without the store", func() bool { return s.ask(0, key).Status != 0 })
	require.NotEqual(t, http.StatusOK, s.ask(0, key).Status, "it knows no configuration")
}

// gatewayFiles is what a gateway may have open: 250 connections of callers.
const gatewayFiles = 700

func gatewaySettings(g *program) string {
	return fmt.Sprintf(
		"CallerListen: %q\nReadyListen: %q\nNeighbourListen: %q\nGraceSeconds: 8\nFiles: %d\nRetries: {Share: 0.2, Besides: 100, SpanSeconds: 10}\n",
		g.callers, g.ready, g.control, gatewayFiles)
}

func agentSettings(pieces, engine string) string {
	return fmt.Sprintf("PieceListen: %q\nLinkMegabits: 100\nBackend: {Kind: Engine, Service: %s, Address: %q}\n", pieces, standin.Pool, engine)
}
