package gossip_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/gossip"
	"almondreel.example/almondreel/internal/hostedrpc"
)

// A gateway that was reported once with an impossible age must not count as alive for
// ever, nor may what it reported of another region hide later loads of that region.
func TestImpossibleAgeHoldsNothing(t *testing.T) {
	for _, age := range []int64{-1e12, math.MinInt64, 9_223_372_036_855, 1e13, math.MaxInt64} {
		now := time.Unix(1000, 0)
		table := gossip.New(hostedrpc.Gateway{Name: "own", Address: "1", Region: "north"}, nil, now)
		table.Receive(hostedrpc.ExchangeRequest{
			Gateway:  hostedrpc.Gateway{Name: "b", Address: "2", Region: "north"},
			Gateways: []hostedrpc.Gateway{{Name: "odd", Address: "3", Region: "south", AgeMilliseconds: age}},
			Loads:    []hostedrpc.Load{{Region: "south", Running: map[string]int{"s": 7}, AgeMilliseconds: age}},
		}, now)
		now = now.Add(2 * aliveTimeout)
		table.Receive(hostedrpc.ExchangeRequest{
			Gateway: hostedrpc.Gateway{Name: "b", Address: "2", Region: "north"},
			Loads:   []hostedrpc.Load{{Region: "south", Running: map[string]int{"s": 3}}},
		}, now)
		for _, g := range table.Alive(now) {
			require.NotEqual(t, "odd", g.Name, age)
		}
		require.Equal(t, 3, table.OtherLoad(now)["s"], age)
	}
}

// Counts that no gateway can have must not offset those of the others.
func TestNegativeLoadIsIgnored(t *testing.T) {
	now := time.Unix(1000, 0)
	table := gossip.New(hostedrpc.Gateway{Name: "own", Address: "1", Region: "north"}, nil, now)
	for address, running := range map[string]int{"2": 5, "3": -100, "4": math.MinInt} {
		table.Receive(hostedrpc.ExchangeRequest{Gateway: hostedrpc.Gateway{Name: address, Address: address, Region: "north"}, Running: map[string]int{"s": running}}, now)
	}
	table.Receive(hostedrpc.ExchangeRequest{
		Gateway: hostedrpc.Gateway{Name: "2", Address: "2", Region: "north"}, Running: map[string]int{"s": 5},
		Loads: []hostedrpc.Load{{Region: "south", Running: map[string]int{"s": -9}}},
	}, now)
	require.Equal(t, 5, table.OtherLoad(now)["s"])
}
