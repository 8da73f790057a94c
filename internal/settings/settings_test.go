package settings_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/settings"
)

const gateway = `Name: gateway-1
Region: delta
DataCentre: delta-1
CallerListen: 127.0.0.1:7000
ControlListen: "[::1]:0"
KeyValue: http://127.0.0.1:7001
Instances: http://127.0.0.1:7002
Origin: http://127.0.0.1:7003
Organisations:
  - {Name: ranchers, Key: secret-1, Weight: 3}
  - Name: order-buyers
    Key: secret-2
`

const agent = `Name: agent-1
Region: delta
DataCentre: delta-1
Listen: 127.0.0.1:7100
Backend:
  Kind: Engine
  Service: assistant
  Address: 127.0.0.1:7200
Instances: http://127.0.0.1:7002
Origin: http://127.0.0.1:7003
Link: {UpBytesPerSecond: 1000000}
`

const operator = `KeyValue: http://127.0.0.1:7001
Operator: head-office
Gateways: [http://127.0.0.1:7300]
`

func writeSettings(t *testing.T, text string) string {
	file := filepath.Join(t.TempDir(), "s.yaml")
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	return file
}

func TestValidSettingsLoad(t *testing.T) {
	o, err := settings.LoadOperator(writeSettings(t, operator))
	require.NoError(t, err)
	require.Equal(t, []string{"http://127.0.0.1:7300"}, o.Gateways)
	g, err := settings.LoadGateway(writeSettings(t, gateway))
	require.NoError(t, err)
	require.Equal(t, "delta", g.Region)
	require.Equal(t, settings.Organisation{Name: "order-buyers", Key: "secret-2"}, g.Organisations[1])
	a, err := settings.LoadAgent(writeSettings(t, agent))
	require.NoError(t, err)
	require.Equal(t, "assistant", a.Backend.Service)
	require.EqualValues(t, 1000000, a.Link.UpBytesPerSecond)
}

func TestCheckDetectsProgram(t *testing.T) {
	for text, want := range map[string]settings.Program{
		gateway:  settings.ProgramGateway,
		agent:    settings.ProgramAgent,
		operator: settings.ProgramOperator,
	} {
		got, err := settings.Check(writeSettings(t, text))
		require.NoError(t, err)
		require.Equal(t, want, got)
	}
	_, err := settings.Check(writeSettings(t, "Name: x\n"))
	require.ErrorContains(t, err, "CallerListen")
}

func TestErrorsNameFileLineKeyAndExpectation(t *testing.T) {
	cases := map[string]struct{ text, old, new, want string }{
		"unknown key":        {gateway, "Region:", "Regoin:", ":2: key Regoin: expected one of the keys"},
		"missing key":        {gateway, "Region: delta\n", "", ": key Region is missing: expected a name"},
		"empty name":         {gateway, "Name: gateway-1", "Name: ''", ":1: key Name: expected a name"},
		"name with slash":    {gateway, "gateway-1", "a/b", `:1: key Name: found "a/b", expected a name`},
		"key given twice":    {gateway, "Region: delta\n", "Region: delta\nRegion: gulf\n", ":3: key Region: expected a key that is given once"},
		"address by name":    {gateway, "127.0.0.1:7000", "localhost:7000", `:4: key CallerListen: found "localhost:7000", expected an IP address and port`},
		"port out of range":  {gateway, ":7000", ":70000", `:4: key CallerListen: found "127.0.0.1:70000"`},
		"advertised port 0":  {gateway, "KeyValue:", "Advertise: 127.0.0.1:0\nKeyValue:", ":6: key Advertise: found"},
		"URL without scheme": {gateway, "http://127.0.0.1:7001", "127.0.0.1:7001", ":6: key KeyValue: found"},
		"weight too large":   {gateway, "Weight: 3", "Weight: 5000", `:10: key Organisations[0].Weight: found "5000", expected a weight from 0 to 1000`},
		"weight not whole":   {gateway, "Weight: 3", "Weight: three", `:10: key Organisations[0].Weight: found "three", expected a whole number`},
		"same credential":    {gateway, "secret-2", "secret-1", ":12: key Organisations[1].Key: expected a credential that no other organisation has"},
		"list expected":      {gateway, "Organisations:\n", "Organisations: none\nOther:\n", `:9: key Organisations: found "none", expected a list`},
		"body limit":         {gateway, "Origin:", "MaxBodyBytes: -1\nOrigin:", `:8: key MaxBodyBytes: found "-1"`},
		"grace period":       {gateway, "Origin:", "GraceSeconds: .nan\nOrigin:", `:8: key GraceSeconds: found ".nan"`},
		"no gateway URLs":    {operator, "[http://127.0.0.1:7300]", "[]", ":3: key Gateways: expected at least one URL"},
		"bad gateway URL":    {operator, "http://127.0.0.1:7300", "x", `:3: key Gateways[0]: found "x", expected a URL`},
		"unknown kind":       {agent, "Engine", "Magic", `:6: key Backend.Kind: found "Magic", expected Engine or Plain`},
		"backend port 0":     {agent, ":7200", ":0", ":8: key Backend.Address: found"},
		"negative rate":      {agent, "1000000", "-1", `:11: key Link.UpBytesPerSecond: found "-1", expected bytes per second`},
		"keys expected":      {agent, "Link: {UpBytesPerSecond: 1000000}", "Link: 7", `:11: key Link: found "7", expected keys and values`},
		"syntax":             {agent, "Backend:", "Backend: [", ":4: yaml: line 4:"},
		"two documents":      {agent, "Link:", "---\nLink:", ": expected one YAML document"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			changed := strings.Replace(c.text, c.old, c.new, 1)
			require.NotEqual(t, c.text, changed)
			file := writeSettings(t, changed)
			_, err := settings.Check(file)
			require.ErrorContains(t, err, file+c.want[:strings.Index(c.want, " ")])
			require.ErrorContains(t, err, c.want)
		})
	}
}

func TestSettingsOfAnotherProgramAreRejected(t *testing.T) {
	_, err := settings.LoadAgent(writeSettings(t, "- a\n"))
	require.ErrorContains(t, err, "s.yaml:1: expected keys and values")
	_, err = settings.LoadAgent(writeSettings(t, gateway))
	require.ErrorContains(t, err, ":4: key CallerListen: expected one of the keys")
	_, err = settings.LoadGateway(writeSettings(t, agent))
	require.ErrorContains(t, err, ":4: key Listen: expected one of the keys")
	_, err = settings.LoadOperator(filepath.Join(t.TempDir(), "none.yaml"))
	require.ErrorContains(t, err, "none.yaml")
}

func TestAllProblemsAreReportedWithoutCredentials(t *testing.T) {
	text := strings.Replace(gateway, "gateway-1", "a b", 1)
	text = strings.Replace(text, "secret-2", "secret-1", 1)
	_, err := settings.LoadGateway(writeSettings(t, text))
	require.ErrorContains(t, err, "key Name")
	require.ErrorContains(t, err, "key Organisations[1].Key")
	require.NotContains(t, err.Error(), "secret-1")
	var keyErr *settings.KeyError
	require.ErrorAs(t, err, &keyErr)
	require.Equal(t, 1, keyErr.Line)
}
