package homeregion_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/homeregion"
)

// Guards against a restriction that is lost when it is combined with another: two lists
// without a common region must allow none, not any.
func TestBothRestrictionsApply(t *testing.T) {
	for _, c := range []struct {
		route, organisation []string
		want                homeregion.Allowed
	}{
		{nil, nil, homeregion.Allowed{}},
		{[]string{"north"}, nil, homeregion.Allowed{Regions: []string{"north"}, Bound: true}},
		{nil, []string{"south"}, homeregion.Allowed{Regions: []string{"south"}, Bound: true}},
		{[]string{"north", "south"}, []string{"south", "west"}, homeregion.Allowed{Regions: []string{"south"}, Bound: true}},
		{[]string{"north"}, []string{"south"}, homeregion.Allowed{Bound: true}},
		{[]string{}, nil, homeregion.Allowed{Regions: []string{}, Bound: true}},
		{[]string{}, []string{"south"}, homeregion.Allowed{Bound: true}},
	} {
		require.Equal(t, c.want, homeregion.Of(c.route).And(homeregion.Of(c.organisation)), "%v and %v", c.route, c.organisation)
	}
}
