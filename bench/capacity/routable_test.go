package capacity_test

import (
	"fmt"
	"testing"
	"time"

	"almondreel.example/almondreel/internal/gateway"
	"almondreel.example/almondreel/internal/membership"
)

// BenchmarkRoutable measures the lookup of the members that a request may be routed to.
func BenchmarkRoutable(b *testing.B) {
	for _, n := range []int{50, 200, 600} {
		table, now := membership.NewTable(), time.Now()
		for i := range n {
			table.RecordHeartbeat(gateway.Member{Name: instanceName(i), DataCentre: fmt.Sprint(i % dataCentres), Service: "assistant", Started: 1, Sequence: 1}, now)
		}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				table.Routable("assistant", now)
			}
		})
	}
}
