package hosted

import (
	"time"

	"almondreel.example/almondreel/internal/ages"
	"almondreel.example/almondreel/internal/counter"
	"almondreel.example/almondreel/internal/event"
	"almondreel.example/almondreel/internal/hostedrpc"
	"almondreel.example/almondreel/internal/schedule"
)

func (gs *gossiper) rateLimits(now time.Time) []hostedrpc.RateLimit {
	var out []hostedrpc.RateLimit
	for service, all := range gs.servers.pools.RateLimits(now) {
		for _, l := range all {
			out = append(out, hostedrpc.RateLimit{
				Service: service, Server: l.Server, Born: l.StartUnixMS, Limited: l.Limited, PerSecond: l.PerSecond,
				AgeMilliseconds: now.Sub(l.At).Milliseconds(),
			})
		}
	}
	return out
}

// applyRateLimits applies another gateway's report of what servers state.
func (gs *gossiper) applyRateLimits(limits []hostedrpc.RateLimit, from string, now time.Time) {
	for _, r := range limits {
		l := schedule.RateLimit{
			Server: r.Server, StartUnixMS: r.Born, Limited: r.Limited, PerSecond: r.PerSecond,
			At: ages.At(now, r.AgeMilliseconds),
		}
		if gs.servers.pools.RecordRateLimit(r.Service, l, l.At) {
			counter.Add("RateLimitsChanged", 1)
			event.Log(event.RateLimitChanged, "Server", l.Server, "Service", r.Service, "Limited", l.Limited, "PerSecond", l.PerSecond, "From", from)
		}
	}
}
