// Package capacity_test measures the cost of the control plane per daemon, and the cost
// of a request and of a token. The figures in docs/CAPACITY.md are derived from its
// tables.
package capacity_test

import (
	"context"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/fleet"
	"almondreel.example/almondreel/internal/settings"
)

const (
	startTimeout = 2 * time.Minute
	regions      = 3
	dataCentres  = 11
)

// siteRegions returns the data centres, with the gateways distributed round-robin.
func siteRegions(gateways int) []fleet.Region {
	out := make([]fleet.Region, dataCentres)
	for i := range out {
		region := fmt.Sprintf("region-%d", i%regions)
		out[i] = fleet.Region{Name: region, DataCentre: fmt.Sprintf("%s-dc-%d", region, i)}
	}
	for i := range gateways {
		out[i%dataCentres].Gateways++
	}
	return out
}

func organisations() []settings.Organisation {
	return []settings.Organisation{{Name: "capacity", Key: "capacity-key"}}
}

// binDir returns the directory of the programs. The environment variable CAPACITY_BIN
// overrides it, to measure another build.
func binDir() string {
	if dir := os.Getenv("CAPACITY_BIN"); dir != "" {
		return dir
	}
	return "../../bin"
}

// startSite starts a site, creates its classes and waits until every daemon is ready.
func startSite(b *testing.B, site fleet.Site) *fleet.Fleet {
	f, err := fleet.New(site, binDir(), b.TempDir())
	require.NoError(b, err)
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	b.Cleanup(func() { _ = f.Stop() })
	require.NoError(b, f.Start(ctx))
	require.NoError(b, f.CreateClasses(ctx))
	require.NoError(b, f.Ready(ctx))
	return f
}
