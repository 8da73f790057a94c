package settings_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/settings"
)

const hostedGateway = `Name: gateway-1
Region: north
DataCentre: north-a
CallerListen: "10.0.0.1:8005"
ReadyListen: "10.0.0.1:8002"
NeighbourListen: "10.0.0.1:8000"
GraceSeconds: 7.5
Retries: {Share: 0.2, Besides: 102, SpanSeconds: 10}
Hosting:
  Program: almondreel-gateway
  Store: "10.200.1.7:8007"
  MemoryMB: 284
  VersionMS: 8000
  Gateways:
  Places:
    - {DataCentre: north-a, Region: north}
Files: 4100
`

func TestValidHostedSettingsLoad(t *testing.T) {
	file := writeSettings(t, hostedGateway)
	hosted, err := settings.IsHosted(file)
	require.NoError(t, err)
	require.True(t, hosted)
	g, err := settings.LoadHostedGateway(file)
	require.NoError(t, err)
	require.Equal(t, "north", g.Hosting.Region("north-a"))
	require.Empty(t, g.Hosting.Region("south-a"))
	require.InDelta(t, 7.5, g.GraceSeconds, 1e-9)
	program, err := settings.Check(file)
	require.NoError(t, err)
	require.Equal(t, settings.ProgramGateway, program)
}

func TestHostedErrorsNameLineAndKey(t *testing.T) {
	for _, c := range []struct{ from, to, want string }{
		{`Store: "10.200.1.7:8007"`, `Store: "store:8007"`, `:11: key Hosting.Store: found "store:8007"`},
		{"MemoryMB: 284", "MemoryMB: 0", ":12: key Hosting.MemoryMB"},
		{"Program: almondreel-gateway", "Program: almondreel-agent", ":10: key Hosting.Program"},
		{"Share: 0.2", "Share: 2", "key Retries.Share"},
		{"Retries:", "EvacuateMS: 1999\nRetries:", "key EvacuateMS"},
		{"Retries:", "EvacuateMS: -5000\nRetries:", "key EvacuateMS"},
		{"Retries:", "EvacuateMS: 600001\nRetries:", "key EvacuateMS"},
		{"GraceSeconds: 7.5", "GraceSeconds: 0", ":7: key GraceSeconds"},
		{"Files: 4100", "Files: 12", "key Files"},
		{"Region: north}", `Region: ""}`, "key Hosting.Places[0].Region"},
		{"GraceSeconds: 7.5", "GraceSeconds: 7.5\nDrainS: 2", "key DrainS"},
		{"Files: 4100", "Files: 4100\nColdStart: {Overage: -1, Tolerance: 5}", "key ColdStart.Overage"},
		{"Files: 4100", "Files: 4100\nColdStart: {Overage: .nan, Tolerance: 5}", "key ColdStart.Overage"},
		{"Files: 4100", "Files: 4100\nColdStart: {Overage: 1.5, Tolerance: .inf}", "key ColdStart.Tolerance"},
		{"Files: 4100", "Files: 4100\nColdStart: {Overage: 0, Tolerance: 5}", "a factor above 0 beside Tolerance 5: Overage 0 "},
	} {
		require.Contains(t, hostedGateway, c.from)
		file := writeSettings(t, strings.Replace(hostedGateway, c.from, c.to, 1))
		_, err := settings.Check(file)
		require.ErrorContains(t, err, c.want)
	}
}

// Guards against settings for cold engines that are not read, and against their absence
// being an error.
func TestColdStartSettingsAreOptional(t *testing.T) {
	g, err := settings.LoadHostedGateway(writeSettings(t, hostedGateway))
	require.NoError(t, err)
	require.Zero(t, g.ColdStart)
	g, err = settings.LoadHostedGateway(writeSettings(t, hostedGateway+"ColdStart:\n  Overage: 1.5\n  Tolerance: 5\n"))
	require.NoError(t, err)
	require.Equal(t, settings.ColdStart{Overage: 1.5, Tolerance: 5}, g.ColdStart)
	g, err = settings.LoadHostedGateway(writeSettings(t, hostedGateway+"ColdStart:\n  Overage: 1.5\n  Tolerance: \n"))
	require.NoError(t, err)
	require.Equal(t, settings.ColdStart{Overage: 1.5}, g.ColdStart)
}
