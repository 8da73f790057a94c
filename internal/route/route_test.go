package route_test

import (
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/gateway"
	"almondreel.example/almondreel/internal/route"
)

func members(n int) []gateway.Member {
	out := make([]gateway.Member, n)
	for i := range out {
		out[i] = gateway.Member{Name: fmt.Sprintf("engine-%03d", i), Slots: 8, Sequence: 1}
	}
	return out
}

func gatewayNames(n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("gateway-%02d", i)
	}
	return out
}

func TestSubsetsCoverAllMembers(t *testing.T) {
	for _, c := range []struct{ gateways, members int }{{1, 600}, {3, 12}, {3, 100}, {20, 600}, {24, 601}} {
		covered := map[string]int{}
		gateways := gatewayNames(c.gateways)
		for _, g := range gateways {
			for _, m := range route.Subset(members(c.members), gateways, g) {
				covered[m.Name]++
			}
		}
		require.Len(t, covered, c.members, "%+v", c)
	}
	before := route.Subset(members(600), gatewayNames(20), "gateway-07")
	require.Equal(t, before, route.Subset(members(600), gatewayNames(20), "gateway-07"))
}

func TestAffinityYieldsToLoad(t *testing.T) {
	r := route.NewRouter()
	all := members(6)
	first, ok := r.Pick(all, route.Criteria{Affinity: "prompt"})
	require.True(t, ok)
	r.Finish(first.Name)
	again, _ := r.Pick(all, route.Criteria{Affinity: "prompt"})
	require.Equal(t, first.Name, again.Name, "idle agents: the same prompt goes to the same agent")
	load := map[string]int{}
	for range 36 {
		m, _ := r.Pick(all, route.Criteria{Affinity: "prompt"})
		load[m.Name]++
	}
	for name, n := range load {
		require.LessOrEqual(t, n, 9, name)
	}
	_, ok = r.Pick(all[:1], route.Criteria{Exclude: map[string]bool{all[0].Name: true}})
	require.False(t, ok)
}

func TestUnprovenRequestUsesAtMostTwoMembers(t *testing.T) {
	used := map[string]bool{}
	for range 3 { // gateways
		r := route.NewRouter()
		for range 12 {
			m, _ := r.Pick(members(6), route.Criteria{Affinity: "prompt", UnprovenFingerprint: "fingerprint"})
			used[m.Name] = true
		}
	}
	require.LessOrEqual(t, len(used), 2)
}

func TestFreeSlotsSubtractOtherGatewaysRequests(t *testing.T) {
	r := route.NewRouter()
	all := members(2)
	require.Equal(t, 16, r.FreeSlots(all))
	m, _ := r.Pick(all, route.Criteria{Affinity: "a"})
	r.UpdateLoad(m.Name, 6, 8)
	require.InDelta(t, 11, r.FreeSlots(all), 1)
}

func BenchmarkSubset600(b *testing.B) {
	all, gateways := members(600), gatewayNames(20)
	for b.Loop() {
		route.Subset(all, gateways, "gateway-07")
	}
}

func BenchmarkPick30(b *testing.B) {
	r := route.NewRouter()
	all := members(30)
	for b.Loop() {
		m, _ := r.Pick(all, route.Criteria{Affinity: "prompt", UnprovenFingerprint: "fingerprint"})
		r.Finish(m.Name)
	}
}

// Guards against one agent whose engine names an impossible number of slots, which made
// the free slots of all agents out of range.
func TestImpossibleSlotsAreIgnored(t *testing.T) {
	for _, slots := range []int{-1, 0, 1 << 40, math.MaxInt, math.MinInt} {
		r := route.NewRouter()
		all := members(3)
		want := r.FreeSlots(all[:2])
		all[2].Slots = slots
		free := r.FreeSlots(all)
		require.Greater(t, free, want, slots)
		require.LessOrEqual(t, free, want+64, slots) // an agent that reports no slots counts as having 64
		r.UpdateLoad(all[1].Name, 0, slots)
		require.Equal(t, free, r.FreeSlots(all), slots)
	}
}
