package desired_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/desired"
	"almondreel.example/almondreel/internal/gateway"
)

// FuzzAdopt offers two arbitrary documents at arbitrary revisions: what is in
// force never goes back, and a malformed document changes nothing.
func FuzzAdopt(f *testing.F) {
	f.Add([]byte(`{"Classes":[{"Name":"a","Target":{"Replicas":1}}]}`), uint64(2), []byte(`{"Assignments":[{"Class":"a"}]}`), uint64(1))
	f.Add([]byte(`{"Classes":null}`), uint64(0), []byte(`null`), uint64(1))
	f.Add([]byte(`{"Classes":[{"Target":{"ReadyBy":"soon"}}]}`), uint64(1), []byte(`[]`), uint64(2))
	f.Add([]byte(``), uint64(9), []byte(`{}`), uint64(9))
	f.Fuzz(func(t *testing.T, first []byte, at uint64, second []byte, later uint64) {
		s := desired.NewState()
		var held uint64
		for _, offered := range []gateway.Versioned{{Value: first, Revision: at}, {Value: second, Revision: later}} {
			held = requireAdopted(t, s, offered, held)
		}
	})
}

// requireAdopted offers a document as both kinds and returns the configuration's
// revision in force.
func requireAdopted(t *testing.T, s *desired.State, offered gateway.Versioned, held uint64) uint64 {
	before, _ := s.Current()
	err := s.AdoptConfiguration(offered, "fuzz")
	_ = s.AdoptPlacement(offered, "fuzz")
	now, _ := s.Current()
	require.GreaterOrEqual(t, now.EncodedConfiguration.Revision, held)
	require.GreaterOrEqual(t, now.EncodedPlacement.Revision, before.EncodedPlacement.Revision)
	require.Equal(t, now.EncodedConfiguration.Revision, now.Configuration.Revision)
	require.Equal(t, now.EncodedPlacement.Revision, now.Placement.Revision)
	if err != nil {
		require.Equal(t, before.EncodedConfiguration, now.EncodedConfiguration)
	}
	return now.EncodedConfiguration.Revision
}
