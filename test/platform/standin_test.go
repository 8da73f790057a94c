// Package platform_test runs the stand-in program, which replaces the platform in
// tests, as separate processes.
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
	program        = "../../bin/almondreel-standin"
	commandTimeout = 20 * time.Second
	anyPort        = "127.0.0.1:0"
)

// process is a running stand-in with the lines that it printed until it listened.
type process struct {
	command *exec.Cmd
	address string
	lines   []string
}

// start runs a stand-in until the test ends. It returns once the stand-in listens.
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
	require.NotEmpty(t, p.address, "the program exited before it listened")
	return p
}

func (p *process) url() string { return "http://" + p.address }

// exitCode waits until the process exits and returns its exit code.
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

func TestInvalidCommandLineExitsWith2(t *testing.T) {
	for name, args := range map[string][]string{
		"no command":        nil,
		"unknown command":   {"poetry"},
		"unknown flag":      {"kv", "--listen", anyPort, "--colour", "red"},
		"missing address":   {"kv"},
		"malformed publish": {"origin", "--listen", anyPort, "--publish", "m:v1:10"},
		"size not a number": {"origin", "--listen", anyPort, "--publish", "m:v1:ten:1:1"},
		"missing route":     {"proxy", "--control", anyPort},
		"malformed route":   {"proxy", "--control", anyPort, "--route", "127.0.0.1:1"},
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
			defer cancel()
			out, err := exec.CommandContext(ctx, program, args...).CombinedOutput()
			var exit *exec.ExitError
			require.True(t, errors.As(err, &exit), "%v", err)
			require.Equal(t, 2, exit.ExitCode(), string(out))
			require.NotEmpty(t, out)
		})
	}
}

func TestStandInExitsOnSIGTERM(t *testing.T) {
	p := start(t, "instances", "--listen", anyPort)
	require.NoError(t, p.command.Process.Signal(syscall.SIGTERM))
	require.Zero(t, p.exitCode(t))
}

func TestCrashMarkerEndsEngine(t *testing.T) {
	p := start(t, "engine", "--listen", anyPort, "--crash-marker", "BOOM", "--first-token-ms", "1")
	origin := start(t, "origin", "--listen", anyPort, "--publish", "drover:v1:100000:1:10000")
	whole := textBetween(get(t, origin.url()+source.ManifestPath("drover", "v1")), `"Whole":"`, `"`)
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

func textBetween(text, before, after string) string {
	_, text, _ = strings.Cut(text, before)
	text, _, _ = strings.Cut(text, after)
	return text
}

// TestProxyDropsWriteAnswer puts the fault proxy in front of the key-value
// service: a write takes effect although its answer is lost, so the client must
// report it as ambiguous. A refused connection means that the write was not made.
func TestProxyDropsWriteAnswer(t *testing.T) {
	kvService := start(t, "kv", "--listen", anyPort)
	faultProxy := start(t, "proxy", "--control", anyPort, "--route", anyPort+"="+kvService.address)
	route := textBetween(faultProxy.lines[0], "proxy ", "=")
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	viaProxy := kv.NewClient("http://" + route)
	first, err := viaProxy.Swap(ctx, kv.Swap{Key: "a", Value: []byte("1")})
	require.NoError(t, err)

	put(t, faultProxy.url()+standin.FaultsPath, `[{"Listen":"`+route+`","ToCaller":{"Fault":"CutAfter"}}]`)
	_, err = viaProxy.Swap(ctx, kv.Swap{Key: "a", Value: []byte("2"), Revision: first.Revision})
	var ambiguous *kv.Ambiguous
	require.ErrorAs(t, err, &ambiguous)
	stored, err := kv.NewClient(kvService.url()).Get(ctx, "a")
	require.NoError(t, err)
	require.Equal(t, "2", string(stored.Value))

	put(t, faultProxy.url()+standin.FaultsPath, `[{"Listen":"`+route+`","Refuse":true}]`)
	_, err = viaProxy.Swap(ctx, kv.Swap{Key: "a", Value: []byte("3"), Revision: stored.Revision})
	var unavailable *kv.Unavailable
	require.ErrorAs(t, err, &unavailable)
}
