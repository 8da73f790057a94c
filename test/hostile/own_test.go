package hostile_test

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/agent"
	"almondreel.example/almondreel/internal/fleet"
	"almondreel.example/almondreel/internal/gateway"
	"almondreel.example/almondreel/internal/settings"
	"almondreel.example/almondreel/pkg/client"
)

// smallSite returns the example site hollister with one gateway and one instance of each
// service.
func smallSite(t *testing.T) fleet.Site {
	t.Helper()
	s, err := fleet.LoadSite("../../examples/hollister.yaml")
	require.NoError(t, err)
	s.Regions = s.Regions[:1]
	for i := range s.Services {
		s.Services[i].Instances = 1
	}
	for i := range s.Classes {
		s.Classes[i].Replicas = 1
	}
	s.Model.First.Bytes, s.Model.Next.Bytes = 1<<20, 1<<20
	return s
}

// change sets a key of a settings file.
func change(t *testing.T, file, key string, value int) {
	t.Helper()
	text, err := os.ReadFile(file)
	require.NoError(t, err)
	text = regexp.MustCompile(`(?m)^`+key+`:.*\n`).ReplaceAll(text, nil)
	require.NoError(t, os.WriteFile(file, fmt.Appendf(text, "%s: %d\n", key, value), 0o600))
}

func TestHostileClientsOfOwnGateway(t *testing.T) {
	gateway, _ := startOwnSite(t)
	gateway.attackAll(t)
}

func TestHostileClientsOfOwnAgent(t *testing.T) {
	_, agent := startOwnSite(t)
	agent.attackAll(t)
}

// startOwnSite starts a small site as processes until the test ends.
func startOwnSite(t *testing.T) (program, program) {
	t.Helper()
	dir := t.TempDir()
	f, err := fleet.New(smallSite(t), limitedPrograms(t), dir)
	require.NoError(t, err)
	change(t, filepath.Join(dir, f.Gateways[0].Name+".yaml"), "MaxBodyBytes", bodyBytes)
	change(t, filepath.Join(dir, f.Gateways[0].Name+".yaml"), "MemoryMB", gatewayMB)
	for _, b := range f.Backends {
		change(t, filepath.Join(dir, b.Instance+".yaml"), "MemoryMB", agentMB)
	}
	t.Cleanup(func() { _ = f.Stop() })
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	require.NoError(t, f.Start(ctx))
	require.NoError(t, f.CreateClasses(ctx))
	require.NoError(t, f.Ready(ctx))
	g, key := f.Gateways[0], f.Site.Organisations[0].Key
	probes := func() bool { return answers(g.ControlAddress, "/ready") && answers(g.ControlAddress, "/metrics") }
	answered := func() bool {
		c := client.New("http://"+g.CallerAddress, key, &http.Client{Timeout: attemptTimeout, Transport: &http.Transport{DisableKeepAlives: true}})
		a, err := c.Complete(context.Background(), client.Completion{Class: "auction-questions", Prompt: "ready?", MaxTokens: 1})
		return err == nil && a.Record.Outcome == "Answered" && probes()
	}
	require.Eventually(t, answered, answerTimeout, 50*time.Millisecond)
	agentOf := func() fleet.Backend {
		for _, b := range f.Backends {
			if b.Service.Kind == settings.KindEngine {
				return b
			}
		}
		t.Fatal("the site has no engine")
		return fleet.Backend{}
	}
	engine := agentOf()
	agentProbes := func() bool { return answers(engine.AgentAddress, "/ready") && answers(engine.AgentAddress, "/metrics") }
	process := func(name string) (pid func() int, restart func()) {
		p := f.Process(name)
		return p.ID, func() {
			p.Kill()
			require.NoError(t, p.Start())
			require.Eventually(t, answered, answerTimeout, 50*time.Millisecond)
		}
	}
	gatewayID, restartGateway := process(g.Name)
	agentID, restartAgent := process(engine.Instance)
	header := func(key string) string { return "Host: h\r\nAuthorization: Bearer " + key + "\r\n" }
	dispatch := fmt.Sprintf("Host: h\r\n%s: 1\r\n%s: %d\r\n", agent.HeaderAttempt, agent.HeaderDeadline, time.Now().Add(time.Hour).UnixMilli())
	const completion = `{"model":"auction-questions","prompt":"a","max_tokens":1000}`
	return program{"gateway", gatewayMB, gatewayID, restartGateway, answered, probes, []target{
			{name: "served", address: g.CallerAddress, path: "/v1/completions", header: header(key), body: completion},
			{name: "no route", address: g.CallerAddress, path: "/none", header: header(key), body: completion},
			{name: "wrong key", address: g.CallerAddress, path: "/v1/completions", header: header("wrong"), body: completion},
			{name: "readiness", address: g.ControlAddress, path: "/ready", header: "Host: h\r\n", body: "a"},
			{name: "rpc", address: g.ControlAddress, method: "Gateway.Heartbeat", call: gateway.HeartbeatRequest{}},
		}}, program{"agent", agentMB, agentID, restartAgent, answered, agentProbes, []target{
			{name: "served", address: engine.AgentAddress, path: agent.DispatchPath, header: dispatch, body: "a"},
			{name: "no route", address: engine.AgentAddress, path: "/none", header: "Host: h\r\n", body: "a"},
			{name: "readiness", address: engine.AgentAddress, path: "/ready", header: "Host: h\r\n", body: "a"},
			{name: "rpc", address: engine.AgentAddress, method: "Agent.Have", call: agent.HaveRequest{}},
		}}
}
