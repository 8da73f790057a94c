package schedule_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/schedule"
)

// Servers that are removed and come back while requests run on them must count each
// request until it ends, and no request twice: else they get too many, or none.
func TestRunningRequestsAreCountedWhileServersComeAndGo(t *testing.T) {
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 1))
		now := time.Unix(1000, 0)
		p := schedule.NewPool(schedule.Options{ExtraSlots: 2})
		running := map[string]int{}
		note := func(d schedule.Decision) {
			if s, ok := d.(schedule.Start); ok {
				running[s.Server.ID]++
			}
		}
		noteAll := func(resolved []schedule.Resolved) {
			for _, d := range resolved {
				note(d.Decision)
			}
		}
		for id := range int64(300) {
			now = now.Add(time.Duration(r.IntN(20)) * time.Millisecond)
			switch r.IntN(4) {
			case 0:
				var list []schedule.Server
				for n := range 4 {
					if r.IntN(2) == 0 {
						list = append(list, schedule.Server{ID: fmt.Sprint(n), Slots: r.IntN(4), StartUnixMS: int64(r.IntN(3)), Ready: r.IntN(3) > 0})
					}
				}
				noteAll(p.SetServers(now, list))
			case 1, 2:
				request := longWaitRequest(id, now)
				request.PromptMS = float64(r.IntN(100))
				d, others := p.Submit(now, request)
				note(d)
				noteAll(others)
			case 3:
				if server := fmt.Sprint(r.IntN(4)); running[server] > 0 {
					running[server]--
					noteAll(p.Ended(now, server, schedule.End(r.IntN(6)), 0))
				}
			}
			noteAll(p.Tick(now))
			counted := map[string]int{}
			p.AddRunning(counted)
			for server, count := range running {
				require.Equal(t, count, counted[server], "seed %d, server %s", seed, server)
			}
		}
	}
}
