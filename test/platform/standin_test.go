// Package platform_test runs the stand-ins' program as processes.
package platform_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net/http"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/kv"
	"almondreel.example/almondreel/internal/source"
	"almondreel.example/almondreel/internal/standin"
)

const (
	program  = "../../bin/almondreel-standin"
	longWait = 20 * time.Second
	anywhere = "127.0.0.1:0"
)

// process is a stand-in and what it printed at its start, by first word.
type process struct {
	command *exec.Cmd
	address string
	lines   []string
}

// start runs a stand-in until the test ends and returns when it listens.
func start(t *testing.T, args ...string) *process {
	p := &process{command: exec.Command(program, args...)}
	out, err := p.command.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, p.command.Start())
	t.Cleanup(func() {
		_ = p.command.Process.Kill()
		_ = p.command.Wait()
	})
	scanner := bufio.NewScanner(out)
	for p.address == "" && scanner.Scan() {
		line := scanner.Text()
		p.lines = append(p.lines, line)
		if _, address, found := strings.Cut(line, " listening on "); found {
			p.address = address
		}
	}
	require.NotEmpty(t, p.address, "the program ended before it listened")
	return p
}

func (p *process) url() string { return "http://" + p.address }

// exitCode waits for the process's end.
func (p *process) exitCode(t *testing.T) int {
	err := p.command.Wait()
	var exit *exec.ExitError
	if err != nil {
		require.ErrorAs(t, err, &exit)
	}
	return p.command.ProcessState.ExitCode()
}

func put(t *testing.T, url, body string) {
	request, err := http.NewRequest(http.MethodPut, url, strings.NewReader(body))
	require.NoError(t, err)
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	text, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusOK, response.StatusCode, string(text))
}

func get(t *testing.T, url string) string {
	response, err := http.Get(url)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode, string(text))
	return string(text)
}

func TestMistakesOnTheCommandLineExitWith2(t *testing.T) {
	for name, args := range map[string][]string{
		"no command":        nil,
		"unknown command":   {"poetry"},
		"unknown flag":      {"kv", "--listen", anywhere, "--colour", "red"},
		"no address":        {"kv"},
		"publish malformed": {"origin", "--listen", anywhere, "--publish", "m:v1:10"},
		"publish not whole": {"origin", "--listen", anywhere, "--publish", "m:v1:ten:1:1"},
		"no route":          {"proxy", "--control", anywhere},
		"route malformed":   {"proxy", "--control", anywhere, "--route", "127.0.0.1:1"},
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), longWait)
			defer cancel()
			out, err := exec.CommandContext(ctx, program, args...).CombinedOutput()
			var exit *exec.ExitError
			require.True(t, errors.As(err, &exit), "%v", err)
			require.Equal(t, 2, exit.ExitCode(), string(out))
			require.NotEmpty(t, out)
		})
	}
}

func TestStandInStopsOnASignal(t *testing.T) {
	p := start(t, "instances", "--listen", anywhere)
	require.NoError(t, p.command.Process.Signal(syscall.SIGTERM))
	require.Zero(t, p.exitCode(t))
}

func TestCrashingRequestEndsTheEngine(t *testing.T) {
	p := start(t, "engine", "--listen", anywhere, "--crash-marker", "BOOM", "--first-token-ms", "1")
	origin := start(t, "origin", "--listen", anywhere, "--publish", "drover:v1:100000:1:10000")
	whole := between(get(t, origin.url()+source.ManifestPath("drover", "v1")), `"Whole":"`, `"`)
	order := `{"digest":"sha256:1","whole":"` + whole + `","source":"` + origin.url() + source.WeightsPath("drover", "v1") + `"}`
	response, err := http.Post(p.url()+"/v1/load_model", "application/json", strings.NewReader(order))
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Contains(t, get(t, origin.url()+"/v1/sent"), `"Bytes":100000`)

	_, err = http.Post(p.url()+"/v1/completions", "application/json", strings.NewReader(`{"prompt":"go BOOM"}`))
	require.Error(t, err)
	require.Equal(t, 3, p.exitCode(t))
}

func between(text, before, after string) string {
	_, text, _ = strings.Cut(text, before)
	text, _, _ = strings.Cut(text, after)
	return text
}

// TestProxyLosesTheAnswerToAWrite puts the fault proxy before the key-value
// service: the write takes effect though its answer never comes.
func TestProxyLosesTheAnswerToAWrite(t *testing.T) {
	service := start(t, "kv", "--listen", anywhere)
	proxy := start(t, "proxy", "--control", anywhere, "--route", anywhere+"="+service.address)
	route := between(proxy.lines[0], "proxy ", "=")
	ctx, cancel := context.WithTimeout(context.Background(), longWait)
	defer cancel()
	through := kv.NewClient("http://" + route)
	first, err := through.Swap(ctx, kv.Swap{Key: "a", Value: []byte("1")})
	require.NoError(t, err)

	put(t, proxy.url()+standin.FaultsPath, `[{"Listen":"`+route+`","ToCaller":{"Fault":"CutAfter"}}]`)
	_, err = through.Swap(ctx, kv.Swap{Key: "a", Value: []byte("2"), Revision: first.Revision})
	var ambiguous *kv.Ambiguous
	require.ErrorAs(t, err, &ambiguous)
	held, err := kv.NewClient(service.url()).Get(ctx, "a")
	require.NoError(t, err)
	require.Equal(t, "2", string(held.Value))

	put(t, proxy.url()+standin.FaultsPath, `[{"Listen":"`+route+`","Refuse":true}]`)
	_, err = through.Swap(ctx, kv.Swap{Key: "a", Value: []byte("3"), Revision: held.Revision})
	var unavailable *kv.Unavailable
	require.ErrorAs(t, err, &unavailable)
}
