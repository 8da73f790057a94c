package hosting_test

import (
	"bytes"
	"cmp"
	"fmt"
	"net/http"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/platform/standin"
)

// startStandIn starts the stand-in program until the test ends.
func startStandIn(t *testing.T, args ...string) {
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

// The stand-in program replaces the platform for daemons that are started by hand. Its
// store's faults are set over HTTP: a gateway that restarts without the store must
// answer, but has no configuration.
func TestStandInProgramReplacesPlatform(t *testing.T) {
	s := newSite(t)
	store, origin, engine := s.ports.Next(), s.ports.Next(), s.ports.Next()
	startStandIn(t, "hosting-origin", "--listen", origin)
	startStandIn(t, "hosting-store", "--listen", store, "--origin", origin, "--key", apiKey)
	s.eventually(5*time.Second, "the store answers", func() bool {
		response, err := http.Get("http://" + store + "/faults")
		if err != nil {
			return false
		}
		return response.Body.Close() == nil && response.StatusCode == http.StatusOK
	})
	startStandIn(t, "hosting-engine", "--listen", engine, "--id", "i-1", "--store", store, "--data-centre", "north-a", "--event-ms", "5")
	g := &daemon{name: "gateway-0", program: "almondreel-gateway", log: &log{}, callerAddress: s.ports.Next(), readyAddress: s.ports.Next(), controlAddress: s.ports.Next()}
	s.gateways = []*daemon{g}
	s.startDaemon(g, store, []string{g.controlAddress}, gatewaySettings(g, 0))
	a := &daemon{name: "agent-0", program: "almondreel-agent", log: &log{}}
	s.startDaemon(a, store, []string{g.controlAddress}, agentSettings(s.ports.Next(), engine))
	s.waitForVersion(0, 1, 10*time.Second)

	request, err := http.NewRequest(http.MethodPut, "http://"+store+"/faults", bytes.NewReader([]byte(`{"Busy": true}`)))
	require.NoError(t, err)
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusOK, response.StatusCode)
	g.kill()
	g.start(t)
	s.eventually(5*time.Second, "the gateway answers without the store", func() bool { return s.send(0, apiKey).Status != 0 })
	require.NotEqual(t, http.StatusOK, s.send(0, apiKey).Status, "the gateway has no configuration")
}

// gatewayMaxFiles is the number of files that a gateway may have open; it allows 250
// connections of callers.
const gatewayMaxFiles = 700

// gatewaySettings returns a gateway's settings with this GraceSeconds setting; 0 stands for
// graceTime.
func gatewaySettings(g *daemon, graceSeconds int) string {
	return fmt.Sprintf(
		"CallerListen: %q\nReadyListen: %q\nNeighbourListen: %q\nGraceSeconds: %d\nFiles: %d\nRetries: {Share: 0.2, Besides: 100, SpanSeconds: 10}\n",
		g.callerAddress, g.readyAddress, g.controlAddress, cmp.Or(graceSeconds, int(graceTime.Seconds())), gatewayMaxFiles)
}

func agentSettings(pieceAddress, engineAddress string) string {
	return fmt.Sprintf("PieceListen: %q\nLinkMegabits: 100\nBackend: {Kind: Engine, Service: %s, Address: %q}\n", pieceAddress, standin.EngineService, engineAddress)
}
