package hostile_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/hostedrpc"
	"almondreel.example/almondreel/internal/process"
	"almondreel.example/almondreel/platform/caller"
	"almondreel.example/almondreel/platform/standin"
)

const apiKey = "key"

// daemon is a hosted program that can be restarted.
type daemon struct {
	path, settings string
	log            *os.File
	command        *exec.Cmd
}

func (d *daemon) start() error {
	d.command = exec.Command(d.path, "--settings", d.settings)
	d.command.Stdout, d.command.Stderr = d.log, d.log
	return d.command.Start()
}

func (d *daemon) pid() int { return d.command.Process.Pid }

func (d *daemon) stop() {
	_ = d.command.Process.Kill()
	_ = d.command.Wait()
}

// startHosted starts a hosted program until the test ends.
func startHosted(t *testing.T, dir, program, text string) *daemon {
	t.Helper()
	out := t.TempDir()
	d := &daemon{path: filepath.Join(dir, program), settings: filepath.Join(out, "settings.yaml")}
	var err error
	d.log, err = os.Create(filepath.Join(out, "log"))
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(d.settings, []byte(text), 0o600))
	require.NoError(t, d.start())
	t.Cleanup(func() { d.stop() })
	return d
}

// listen starts a stand-in's server until the test ends and returns its address.
func listen(t *testing.T, server *httptest.Server) string {
	server.Start()
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return server.Listener.Addr().String()
}

func TestHostileClientsOfHostedGateway(t *testing.T) {
	gateway, _ := startHostedSite(t)
	gateway.attackAll(t)
}

func TestHostileClientsOfHostedAgent(t *testing.T) {
	_, agent := startHostedSite(t)
	agent.attackAll(t)
}

// startHostedSite starts a gateway and an agent beside stand-ins until the test ends.
func startHostedSite(t *testing.T) (program, program) {
	t.Helper()
	dir := limitedPrograms(t)
	ports, err := process.Reserve(4)
	require.NoError(t, err)
	t.Cleanup(ports.Release)
	callers, ready, neighbours, pieces := ports.Next(), ports.Next(), ports.Next(), ports.Next()

	store := standin.NewStore()
	origin := listen(t, httptest.NewUnstartedServer(standin.NewOrigin()))
	store.Configure(standin.Configuration{Version: 1, Keys: []string{apiKey}, Origin: origin})
	storeAddress := listen(t, httptest.NewUnstartedServer(store.NewEndpoint()))
	engineServer := httptest.NewUnstartedServer(nil)
	engine := standin.NewEngine(standin.EngineOptions{ID: "i-0", Address: engineServer.Listener.Addr().String(), DataCentre: "north-a", EventMS: 5})
	engineServer.Config.Handler = engine
	engineAddress := listen(t, engineServer)
	engine.Register(store, false)

	settings := func(program, name string, memoryMB int, own string) string {
		return fmt.Sprintf("Name: %s\nRegion: north\nDataCentre: north-a\n%sHosting:\n  Program: %s\n  Store: %q\n  MemoryMB: %d\n  VersionMS: 2000\n  Gateways: [%q]\n  Places: [{DataCentre: north-a, Region: north}]\n",
			name, own, program, storeAddress, memoryMB, neighbours)
	}
	gateway := startHosted(t, dir, "almondreel-gateway", settings("almondreel-gateway", "gateway-0", gatewayMB,
		fmt.Sprintf("CallerListen: %q\nReadyListen: %q\nNeighbourListen: %q\nGraceSeconds: 2\nFiles: %d\nRetries: {Share: 0.2, Besides: 100, SpanSeconds: 10}\n", callers, ready, neighbours, files)))
	agent := startHosted(t, dir, "almondreel-agent", settings("almondreel-agent", "agent-0", agentMB,
		fmt.Sprintf("PieceListen: %q\nLinkMegabits: 100\nBackend: {Kind: Engine, Service: %s, Address: %q}\n", pieces, standin.EngineService, engineAddress)))

	probes := func() bool { return answers(ready, "/ready") && answers(neighbours, "/metrics") }
	answered := func() bool {
		c := caller.New(callers)
		defer c.Close()
		o := c.Send(context.Background(), standin.StreamPath+"x", "ordinary", apiKey, time.Now().Add(3*time.Second))
		return o.Status == http.StatusOK && probes()
	}
	agentAnswers := func() bool { return answers(pieces, "/metrics") }
	require.Eventually(t, answered, answerTimeout, 50*time.Millisecond)
	require.Eventually(t, agentAnswers, answerTimeout, 50*time.Millisecond)
	restart := func(d *daemon, ordinary func() bool) func() {
		return func() {
			d.stop()
			require.NoError(t, d.start())
			require.Eventually(t, ordinary, answerTimeout, 50*time.Millisecond)
		}
	}
	header := func(key string) string { return caller.HeaderLines("hostile", key, "10000") }
	return program{"gateway", gatewayMB, gateway.pid, restart(gateway, answered), answered, probes, []target{
			{name: "served", address: callers, path: standin.StreamPath + "x", header: header(apiKey), body: "a"},
			{name: "no route", address: callers, path: "/none", header: header(apiKey), body: "a"},
			{name: "wrong key", address: callers, path: standin.StreamPath + "x", header: header("wrong"), body: "a"},
			{name: "readiness", address: ready, path: "/ready", header: "Host: h\r\n", body: "a"},
			{name: "control", address: neighbours, path: "/metrics", header: "Host: h\r\n", body: "a"},
			{name: "rpc", address: neighbours, method: hostedrpc.MethodFollow, call: hostedrpc.FollowRequest{Service: "s", WaitMilliseconds: 2000}},
		}}, program{"agent", agentMB, agent.pid, restart(agent, agentAnswers), agentAnswers, agentAnswers, []target{
			{name: "served", address: pieces, path: "/pieces/m/1/1", header: "Host: h\r\n", body: "a"},
			{name: "no route", address: pieces, path: "/none", header: "Host: h\r\n", body: "a"},
			{name: "metrics", address: pieces, path: "/metrics", header: "Host: h\r\n", body: "a"},
		}}
}
