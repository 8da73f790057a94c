package desired_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/desired"
	"almondreel.example/almondreel/internal/gateway"
)

// FuzzAdopt offers two arbitrary documents with arbitrary revisions. The current
// revision must never decrease, and a malformed document must change nothing.
func FuzzAdopt(f *testing.F) {
	f.Add([]byte(`{"Classes":[{"Name":"a","Target":{"Replicas":1}}]}`), uint64(2), []byte(`{"Assignments":[{"Class":"a"}]}`), uint64(1))
	f.Add([]byte(`{"Classes":null}`), uint64(0), []byte(`null`), uint64(1))
	f.Add([]byte(`{"Classes":[{"Target":{"ReadyBy":"soon"}}]}`), uint64(1), []byte(`[]`), uint64(2))
	f.Add([]byte(``), uint64(9), []byte(`{}`), uint64(9))
	f.Fuzz(func(t *testing.T, first []byte, firstRevision uint64, second []byte, secondRevision uint64) {
		s := desired.NewState()
		var current uint64
		for _, offered := range []gateway.Versioned{{Value: first, Revision: firstRevision}, {Value: second, Revision: secondRevision}} {
			current = requireAdopted(t, s, offered, current)
		}
	})
}

// requireAdopted offers a document as configuration and as placement, and returns the
// current revision of the configuration.
func requireAdopted(t *testing.T, s *desired.State, offered gateway.Versioned, previous uint64) uint64 {
	before, _ := s.Current()
	err := s.AdoptConfiguration(offered, "fuzz")
	_ = s.AdoptPlacement(offered, "fuzz")
	now, _ := s.Current()
	require.GreaterOrEqual(t, now.EncodedConfiguration.Revision, previous)
	require.GreaterOrEqual(t, now.EncodedPlacement.Revision, before.EncodedPlacement.Revision)
	require.Equal(t, now.EncodedConfiguration.Revision, now.Configuration.Revision)
	require.Equal(t, now.EncodedPlacement.Revision, now.Placement.Revision)
	if err != nil {
		require.Equal(t, before.EncodedConfiguration, now.EncodedConfiguration)
	}
	return now.EncodedConfiguration.Revision
}
