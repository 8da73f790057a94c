// Package capacity_test measures what the daemons spend for control, and what a
// request and a token cost them. docs/CAPACITY.md is worked out from its tables.
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

// spread returns the data centres with the gateways dealt out in turn.
func spread(gateways int) []fleet.Region {
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

// binaries is the directory of the programs; CAPACITY_BIN names another build's.
func binaries() string {
	if other := os.Getenv("CAPACITY_BIN"); other != "" {
		return other
	}
	return "../../bin"
}

// startSite starts a site and waits until every daemon is ready.
func startSite(b *testing.B, site fleet.Site) *fleet.Fleet {
	f, err := fleet.New(site, binaries(), b.TempDir())
	require.NoError(b, err)
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	b.Cleanup(func() { _ = f.Stop() })
	require.NoError(b, f.Start(ctx))
	require.NoError(b, f.CreateClasses(ctx))
	require.NoError(b, f.Ready(ctx))
	return f
}
