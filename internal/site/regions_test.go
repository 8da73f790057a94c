package site_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/site"
)

// Guards against a route whose restrictions are lost, or taken from another route, when the
// configuration moves, renames or removes it.
func TestCurrentRoute(t *testing.T) {
	former := site.Route{Name: "r", Host: "h", Prefix: "/a/"}
	north := []string{"north"}
	for name, c := range map[string]struct {
		former site.Route
		routes []site.Route
		want   []string // regions; nil: the route is gone
	}{
		"changed":         {former, []site.Route{{Name: "q", Host: "h", Prefix: "/"}, {Name: "r", Host: "h", Prefix: "/a/", Regions: north}}, north},
		"moved":           {former, []site.Route{{Name: "r", Host: "h", Prefix: "/b/", Regions: north}}, north},
		"same name twice": {former, []site.Route{{Name: "r", Host: "g", Prefix: "/a/"}, {Name: "r", Host: "h", Prefix: "/a/", Regions: north}}, north},
		"renamed":         {former, []site.Route{{Name: "q", Host: "h", Prefix: "/a/", Regions: north}}, nil},
		"without a name":  {site.Route{Host: "h", Prefix: "/a/"}, []site.Route{{Host: "h", Prefix: "/", Regions: north}}, nil},
	} {
		configuration := &site.Configuration{Routes: c.routes}
		configuration.Index()
		route, ok := configuration.CurrentRoute(c.former)
		require.Equal(t, c.want != nil, ok, name)
		require.Equal(t, c.want, route.Regions, name)
	}
}
