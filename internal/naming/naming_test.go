package naming_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/naming"
	"almondreel.example/almondreel/internal/site"
)

const withinMS = 8000

var began = time.Unix(1000, 0)

func at(seconds float64) time.Time {
	return began.Add(time.Duration(seconds * float64(time.Second)))
}

func version(n int64) site.Version { return site.Version{Model: "m", Number: n} }

// Pattern: versions named two to four seconds apart, while processes start in
// between. One that starts after version 3 was named finds only that one in the
// store; version 1 ends with the time of version 2 all the same.
func TestAProcessThatStartsLaterKnowsWhenOlderVersionsEnd(t *testing.T) {
	early := naming.NewAges(withinMS)
	early.Note(version(2), naming.Naming{At: at(0)})
	early.Note(version(3), naming.Naming{At: at(3)})
	early.Note(version(4), naming.Naming{At: at(7)})

	late := naming.NewAges(withinMS)
	late.Note(version(4), naming.Naming{At: at(7.2), Found: true})
	for v, n := range early.All() {
		late.Note(v, n)
	}
	for _, a := range []*naming.Ages{early, late} {
		require.EqualValues(t, 0, a.Oldest("m", at(7.8)))
		require.EqualValues(t, 2, a.Oldest("m", at(8)))
		require.EqualValues(t, 3, a.Oldest("m", at(11)))
		require.EqualValues(t, 4, a.Oldest("m", at(15)))
		require.EqualValues(t, 0, a.Oldest("other", at(15)))

		ends, ok := a.EndsAt("m", 1)
		require.True(t, ok)
		require.Equal(t, at(7.9), ends, "version 1 ends with the time of version 2, not of the newest")
		ends, _ = a.EndsAt("m", 2)
		require.Equal(t, at(10.9), ends)
		_, ok = a.EndsAt("m", 4)
		require.False(t, ok)
	}
}

func TestOneThatSawAVersionNamedKnowsBetter(t *testing.T) {
	a := naming.NewAges(withinMS)
	a.Note(version(2), naming.Naming{At: at(5), Found: true})
	require.EqualValues(t, 2, a.Oldest("m", at(7.1)), "it may have been named long before")
	a.Note(version(2), naming.Naming{At: at(4)})
	require.EqualValues(t, 0, a.Oldest("m", at(7.1)))
	a.Note(version(2), naming.Naming{At: at(1), Found: true})
	a.Note(version(2), naming.Naming{At: at(4.1)})
	require.EqualValues(t, 0, a.Oldest("m", at(11.8)))
	require.EqualValues(t, 2, a.Oldest("m", at(12)))
}

func TestAVersionThatWasFoundMayBeOverdue(t *testing.T) {
	a := naming.NewAges(withinMS)
	_, ok := a.NamedAt("m", 2)
	require.False(t, ok)
	a.Note(version(2), naming.Naming{At: at(10), Found: true})
	named, ok := a.NamedAt("m", 2)
	require.True(t, ok)
	require.Equal(t, at(2), named)
}
