package desired_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/desired"
	"almondreel.example/almondreel/internal/gateway"
	"almondreel.example/almondreel/internal/operator"
	"almondreel.example/almondreel/internal/placement"
)

func nested(levels int) string { return strings.Repeat("[", levels) + strings.Repeat("]", levels) }

// Guards against a document that is no configuration or placement and replaces the one
// in force, or keeps a later one from being adopted.
func TestOddDocumentKeepsLastOneInForce(t *testing.T) {
	odd := []string{
		"null", " null ", "[]", "7", `"text"`, "true", "1e400", "{", "\xff\xfe", nested(5000), nested(9000), nested(20_000), nested(1_000_000),
		`{"Classes":7}`, `{"Classes":` + nested(20_000) + `}`, `{"Classes":[{"Target":{"Replicas":1e300}}]}`, `{"Classes":[{"Target":{"Replicas":0.5}}]}`,
		`{"Assignments":7}`, `{"Assignments":` + nested(20_000) + `}`, `{"Assignments":[7]}`,
	}
	const configuration, placed = `{"Classes":[{"Name":"lookups","Kind":"Plain","Service":"ledger"}]}`, `{"Assignments":[{"Class":"lookups","Service":"ledger"}]}`
	for _, key := range []string{operator.ConfigurationKey, placement.Key} {
		for _, text := range odd {
			isConfiguration, isPlacement := strings.HasPrefix(text, `{"Classes`), strings.HasPrefix(text, `{"Assignments`)
			if key == operator.ConfigurationKey && isPlacement || key == placement.Key && isConfiguration {
				continue
			}
			s := desired.NewState()
			require.NoError(t, s.AdoptConfiguration(gateway.Versioned{Value: []byte(configuration), Revision: 1}, "test"))
			require.NoError(t, s.AdoptPlacement(gateway.Versioned{Value: []byte(placed), Revision: 1}, "test"))
			before, _ := s.Current()
			require.Error(t, s.AdoptStored(key, []byte(text), 2), "%s: %.60q", key, text)
			after, _ := s.Current()
			require.Equal(t, before, after, "%s: %.60q", key, text)
			later := map[string]string{operator.ConfigurationKey: configuration, placement.Key: placed}[key]
			require.NoError(t, s.AdoptStored(key, []byte(later), 3))
		}
	}
}
