package coldstart_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/coldstart"
)

var startTime = time.Unix(1000, 0)

// window is the time to which the bound applies.
const window = time.Second

// gateway is a simulated gateway that always has requests waiting for every cold engine.
type gateway struct {
	address  string
	limiter  *coldstart.Limiter
	startup  coldstart.Startup
	peak     []string
	isolated bool
	frozen   bool
	down     bool
}

// site simulates gateways that send to cold engines. Its steps are 10 ms, the interval at
// which gateways look at their queues.
type site struct {
	options   coldstart.Options
	perSecond float64
	now       time.Time
	engines   []string
	coldUntil time.Time
	gateways  []*gateway
	seeds     []string
	random    *rand.Rand
	arrivals  map[string][]time.Time // by engine
}

const step = 10 * time.Millisecond

func newSite(o coldstart.Options, perSecond float64, gateways, engines int) *site {
	s := &site{options: o, perSecond: perSecond, now: startTime, coldUntil: startTime.Add(time.Hour), random: rand.New(rand.NewPCG(1, 2)), arrivals: map[string][]time.Time{}}
	for n := range engines {
		s.engines = append(s.engines, fmt.Sprint("engine-", n))
	}
	for range gateways {
		s.start()
	}
	for range 200 { // all gateways have known each other for long
		s.now = s.now.Add(100 * time.Millisecond)
		s.exchange()
	}
	return s
}

// start starts a gateway that no other one knows.
func (s *site) start() *gateway {
	g := &gateway{address: fmt.Sprintf("10.0.0.%d:7", len(s.gateways)), limiter: coldstart.NewLimiter(s.options), startup: coldstart.NewStartup(s.now)}
	s.gateways = append(s.gateways, g)
	return g
}

// exchange tells every gateway which others are alive.
func (s *site) exchange() {
	for _, g := range s.gateways {
		s.exchangeWith(g)
	}
}

// exchangeWith tells a gateway which others are alive.
func (s *site) exchangeWith(g *gateway) {
	if g.frozen || g.down {
		return
	}
	var alive []string
	for _, other := range s.gateways {
		if other == g || !g.isolated && !other.isolated && !other.frozen && !other.down {
			alive = append(alive, other.address)
		}
	}
	slices.Sort(alive)
	if len(alive) >= len(g.peak) {
		g.peak = alive
	}
	known := append(slices.Clone(s.seeds), g.peak...)
	slices.Sort(known)
	known = slices.Compact(known)
	g.startup = g.startup.Contact(s.now, len(alive))
	g.limiter.SetGateways(s.now, coldstart.Gateways{
		Own: g.address, Alive: alive, Known: known, Count: max(len(g.peak), len(s.seeds)),
		Settled: g.startup.Settled(s.now, len(known) > 1), SendFrom: g.startup.SendFrom(),
	})
}

// send lets a gateway send what it may. Requests arrive up to 100 ms later.
func (s *site) send(g *gateway, engine string) {
	e := g.limiter.Update(s.now, engine, s.perSecond, s.coldUntil)
	for e.MaySend(s.now) && !e.SendAt(s.now).After(s.now) {
		sendBy := e.CountSend(s.now)
		delay := time.Duration(s.random.Int64N(int64(sendBy.Sub(s.now))))
		s.arrivals[engine] = append(s.arrivals[engine], s.now.Add(delay))
	}
}

// run simulates a duration. Each gateway learns of changes every 400 ms, at other times than
// the others.
func (s *site) run(duration time.Duration) {
	for elapsed := time.Duration(0); elapsed < duration; elapsed += step {
		s.now = s.now.Add(step)
		for n, g := range s.gateways {
			if (int(elapsed/step)+7*n)%40 == 0 {
				s.exchangeWith(g)
			}
			if g.frozen || g.down {
				continue
			}
			for _, e := range s.engines {
				s.send(g, e)
			}
		}
	}
}

// most returns the most requests that an engine got within any window.
func most(arrivals []time.Time) int {
	slices.SortFunc(arrivals, time.Time.Compare)
	highest := 0
	for n, first := range arrivals {
		end, _ := slices.BinarySearchFunc(arrivals, first.Add(window), time.Time.Compare)
		highest = max(highest, end-n)
	}
	return highest
}

func (s *site) requireWithinBound(t *testing.T) {
	t.Helper()
	bound := s.perSecond*s.options.Overage + s.options.Tolerance
	for engine, arrivals := range s.arrivals {
		require.LessOrEqual(t, float64(most(arrivals)), bound+1e-9, "requests to %s within %s", engine, window)
	}
}

// sent returns the requests that arrived at all engines.
func (s *site) sent() int {
	total := 0
	for _, arrivals := range s.arrivals {
		total += len(arrivals)
	}
	return total
}

// deployments are rates, bounds and numbers of gateways; some bounds are below the number
// of gateways.
var deployments = []struct {
	name      string
	options   coldstart.Options
	perSecond float64
	gateways  int
}{
	{"one gateway", coldstart.Options{Overage: 1.5, Tolerance: 5}, 26, 1},
	{"usual", coldstart.Options{Overage: 1.5, Tolerance: 5}, 26, 16},
	{"usual, 23 gateways", coldstart.Options{Overage: 1.5, Tolerance: 5}, 26, 23},
	{"more gateways than the bound", coldstart.Options{Overage: 1.5, Tolerance: 5}, 26, 60},
	{"low rate", coldstart.Options{Overage: 1.2, Tolerance: 1}, 3, 16},
	{"one a second", coldstart.Options{Overage: 1}, 1, 4},
	{"no tolerance", coldstart.Options{Overage: 1}, 26, 14},
	{"below one a second", coldstart.Options{Overage: 1, Tolerance: 1}, 0.5, 5},
	{"high rate", coldstart.Options{Overage: 1.1}, 400, 7},
	{"high rate, one gateway", coldstart.Options{Overage: 1.1}, 400, 1},
}

// Guards against engines that crash because the gateways together exceed the bound, and
// against a rate that is left unused. All engines are cold at once.
func TestGatewaysTogetherKeepBoundAndUseRate(t *testing.T) {
	for _, d := range deployments {
		t.Run(d.name, func(t *testing.T) {
			const engines, duration = 4, 30 * time.Second
			s := newSite(d.options, d.perSecond, d.gateways, engines)
			s.run(duration)
			s.requireWithinBound(t)
			require.GreaterOrEqual(t, float64(s.sent()), 0.75*d.perSecond*engines*duration.Seconds())
			for _, arrivals := range s.arrivals {
				t.Logf("%d requests, at most %d within a second", len(arrivals), most(arrivals))
			}
		})
	}
}

// Guards against a gateway that takes a larger share because it hears from no other one.
func TestIsolatedGatewayKeepsItsShare(t *testing.T) {
	for _, d := range deployments {
		t.Run(d.name, func(t *testing.T) {
			s := newSite(d.options, d.perSecond, d.gateways, 3)
			s.run(3 * time.Second)
			s.gateways[0].isolated = true
			s.run(10 * time.Second)
			for n := range len(s.gateways) / 2 {
				s.gateways[n].isolated = true // each by itself
			}
			s.run(10 * time.Second)
			for _, g := range s.gateways {
				g.isolated = false
			}
			s.run(5 * time.Second)
			s.requireWithinBound(t)
		})
	}
}

// Guards against a gateway that starts while engines are cold and assumes that it is alone,
// also one that another one has just been, and one that never hears from the others.
func TestStartingGatewayKeepsMinimumShare(t *testing.T) {
	for _, d := range deployments[1:] {
		t.Run(d.name, func(t *testing.T) {
			s := newSite(d.options, d.perSecond, d.gateways, 3)
			for _, g := range s.gateways {
				s.seeds = append(s.seeds, g.address)
			}
			s.run(3 * time.Second)
			// Killed and started again at once, with the same address.
			killed := s.gateways[0]
			s.gateways[0] = &gateway{address: killed.address, limiter: coldstart.NewLimiter(s.options), startup: coldstart.NewStartup(s.now)}
			s.run(8 * time.Second)
			// The same, without contact to the others for long.
			s.gateways[0] = &gateway{address: killed.address, limiter: coldstart.NewLimiter(s.options), startup: coldstart.NewStartup(s.now), isolated: true}
			s.run(20 * time.Second)
			s.gateways[0].isolated = false
			s.run(5 * time.Second)
			s.requireWithinBound(t)
		})
	}
}

// Guards against shares that overlap while an additional gateway starts.
func TestAdditionalGatewayKeepsBound(t *testing.T) {
	for _, d := range deployments {
		t.Run(d.name, func(t *testing.T) {
			s := newSite(d.options, d.perSecond, d.gateways, 3)
			s.run(3 * time.Second)
			_ = s.start()
			s.run(10 * time.Second)
			s.gateways[0].down = true
			s.run(5 * time.Second)
			_ = s.start()
			s.run(10 * time.Second)
			s.requireWithinBound(t)
		})
	}
}

// Guards against a process that sends as much as the one before it did just before its end.
func TestGatewayKilledAfterBurstKeepsBound(t *testing.T) {
	for _, d := range deployments {
		t.Run(d.name, func(t *testing.T) {
			s := newSite(d.options, d.perSecond, d.gateways, 3)
			s.run(5 * step) // the engines have just become cold
			for n, killed := range s.gateways {
				s.gateways[n] = &gateway{address: killed.address, limiter: coldstart.NewLimiter(s.options), startup: coldstart.NewStartup(s.now)}
			}
			s.run(5 * time.Second)
			s.requireWithinBound(t)
		})
	}
}

// Guards against gateways that started at different times and remember different others, so
// that more of them than allowed take a part of the remainder.
func TestReplacedGatewaysKeepBound(t *testing.T) {
	for _, d := range deployments {
		t.Run(d.name, func(t *testing.T) {
			const engines = 20
			s := newSite(d.options, d.perSecond, d.gateways, engines)
			s.run(2 * time.Second)
			half := len(s.gateways) / 2
			for n := range half {
				s.gateways[n].down = true
			}
			s.run(2 * time.Second)
			for range half - 1 {
				_ = s.start()
			}
			s.run(8 * time.Second)
			s.requireWithinBound(t)
		})
	}
}

// Guards against a backlog that a gateway sends at once when it resumes.
func TestGatewayResumingFromFreezeKeepsBound(t *testing.T) {
	for _, d := range deployments {
		for _, freeze := range []time.Duration{300 * time.Millisecond, 4 * time.Second} {
			t.Run(fmt.Sprint(d.name, " ", freeze), func(t *testing.T) {
				s := newSite(d.options, d.perSecond, d.gateways, 3)
				s.run(3 * time.Second)
				for n := range (len(s.gateways) + 1) / 2 {
					s.gateways[n].frozen = true
				}
				s.run(freeze)
				for _, g := range s.gateways {
					g.frozen = false
				}
				s.run(5 * time.Second)
				s.requireWithinBound(t)
			})
		}
	}
}

// Guards against all gateways beginning at the same time when engines become cold again.
func TestEnginesThatBecomeColdAgainKeepBound(t *testing.T) {
	s := newSite(coldstart.Options{Overage: 1.5, Tolerance: 5}, 26, 16, 10)
	s.coldUntil = s.now
	for range 5 {
		s.now = s.now.Add(20 * time.Second)
		s.exchange()
		s.coldUntil = s.now.Add(8 * time.Second)
		s.run(8*time.Second - step)
	}
	s.requireWithinBound(t)
}
