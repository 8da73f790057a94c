package exchange_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/exchange"
	"almondreel.example/almondreel/internal/neighbour"
)

const (
	round     = 150 * time.Millisecond
	aliveTime = 1500 * time.Millisecond
)

// play is gateways that exchange in rounds. News is something that passes from
// gateway to gateway with each call, as configurations and departures do.
type play struct {
	t        *testing.T
	now      time.Time
	tables   []*exchange.Table
	gateways []neighbour.Gateway
	index    map[string]int
	down     map[int]bool
	cut      map[string]bool // regions that are cut off
	news     []bool
	calls    int
}

func newPlay(t *testing.T, regions, perRegion int) *play {
	p := &play{t: t, now: time.Unix(1000, 0), index: map[string]int{}, down: map[int]bool{}, cut: map[string]bool{}}
	for r := range regions {
		for n := range perRegion {
			g := neighbour.Gateway{Name: fmt.Sprintf("edge-%d-%d", r, n), Address: fmt.Sprintf("10.%d.0.%d:7700", r, n), Region: fmt.Sprint("region-", r)}
			p.index[g.Address] = len(p.gateways)
			p.gateways = append(p.gateways, g)
		}
	}
	seeds := []string{p.gateways[0].Address, p.gateways[perRegion].Address, p.gateways[2*perRegion].Address}
	for _, g := range p.gateways {
		p.tables = append(p.tables, exchange.New(g, seeds, p.now))
	}
	p.news = make([]bool, len(p.gateways))
	return p
}

// step plays a round: each gateway calls those that its table says.
func (p *play) step() {
	p.now = p.now.Add(round)
	p.calls = 0
	for n, t := range p.tables {
		for address, m := range p.index {
			if p.down[n] || !t.Talks(address, p.now) {
				continue
			}
			p.calls++
			apart := p.gateways[n].Region != p.gateways[m].Region && (p.cut[p.gateways[n].Region] || p.cut[p.gateways[m].Region])
			if p.down[m] || apart {
				continue
			}
			p.call(n, m)
		}
	}
}

func (p *play) call(n, m int) {
	from, to := p.tables[n], p.tables[m]
	request := from.Word(p.gateways[m].Address, map[string]int{"server": 1}, p.now)
	to.Hear(request, p.now)
	from.Answered(p.gateways[m].Address, p.now)
	if known := to.Known(p.now); exchange.Digest(known) != request.Known {
		for _, g := range known {
			from.Meet(g, p.now)
		}
	}
	p.news[n] = p.news[n] || p.news[m] // the caller is told what it lacks
}

func (p *play) rounds(n int) {
	for range n {
		p.step()
	}
}

func (p *play) told() bool {
	for n, told := range p.news {
		if !told && !p.down[n] {
			return false
		}
	}
	return true
}

// Pattern: more regions and more gateways. Calls grow with the gateways of a
// region and with the regions, not as the square of the site; all are known.
func TestCallsDoNotGrowAsTheSquareOfTheSite(t *testing.T) {
	for _, c := range []struct{ regions, perRegion int }{{3, 2}, {5, 4}, {5, 8}, {11, 12}} {
		p := newPlay(t, c.regions, c.perRegion)
		p.rounds(12)
		all := c.regions * c.perRegion
		for n, table := range p.tables {
			require.Len(t, table.Known(p.now), all, "gateway %d of %d", n, all)
			require.Equal(t, all, table.Most())
		}
		most := all*(c.perRegion-1) + 2*c.regions*2*(c.regions-1)
		require.LessOrEqual(t, p.calls, most, "%d gateways in %d regions", all, c.regions)
	}
}

// Whatever one gateway counts, each other one counts once.
func TestLoadsAreCountedOnce(t *testing.T) {
	p := newPlay(t, 5, 4)
	p.rounds(12)
	for _, table := range p.tables {
		require.Equal(t, 19, table.Others(p.now)["server"])
	}
	p.down[0], p.down[1] = true, true
	p.now = p.now.Add(aliveTime)
	p.rounds(24)
	for n, table := range p.tables {
		if !p.down[n] {
			require.Equal(t, 17, table.Others(p.now)["server"])
		}
	}
}

// Pattern: a configuration, a departing server or a conviction must be everywhere
// within a second, also while the speakers of a region die.
func TestNewsReachesEveryGatewayWithinASecond(t *testing.T) {
	for source := range 20 {
		p := newPlay(t, 5, 4)
		p.rounds(12)
		p.news[source] = true
		p.rounds(4)
		require.True(t, p.told(), "from gateway %d", source)
	}
}

func TestLostSpeakersAreReplaced(t *testing.T) {
	p := newPlay(t, 5, 4)
	p.rounds(12)
	// Two gateways of each region die at once, whichever speak.
	for n := range p.gateways {
		p.down[n] = n%4 < 2
	}
	p.rounds(int(aliveTime/round) + 4) // what was relayed may be some rounds old
	p.news[2] = true
	p.rounds(5)
	require.True(t, p.told())
	for n, table := range p.tables {
		if !p.down[n] {
			require.Len(t, table.Known(p.now), 10)
		}
	}
	for n := range p.gateways {
		p.down[n] = false
	}
	p.rounds(12)
	for _, table := range p.tables {
		require.Len(t, table.Known(p.now), 20)
	}
}

func TestARegionThatWasCutOffIsBackWithinASecond(t *testing.T) {
	p := newPlay(t, 5, 4)
	p.rounds(12)
	p.cut["region-3"] = true
	p.rounds(60) // nine seconds
	require.Len(t, p.tables[0].Known(p.now), 16)
	require.Len(t, p.tables[12].Known(p.now), 4)
	p.news[0] = true
	p.cut["region-3"] = false
	p.rounds(6)
	require.True(t, p.told())
	require.Len(t, p.tables[12].Known(p.now), 20)
}

// A gateway that is gone for good is no longer called; those of the settings are.
func TestAGatewayThatIsGoneIsForgotten(t *testing.T) {
	p := newPlay(t, 3, 2)
	p.rounds(12)
	p.down[0], p.down[1] = true, true
	p.now = p.now.Add(time.Minute)
	require.True(t, p.tables[2].Gone(p.gateways[1].Address, p.now))
	require.False(t, p.tables[2].Talks(p.gateways[1].Address, p.now))
	require.False(t, p.tables[2].Gone(p.gateways[0].Address, p.now), "its address is in the settings")
}

func BenchmarkWord(b *testing.B) {
	for _, c := range []struct{ regions, perRegion int }{{3, 2}, {5, 4}, {11, 36}} {
		b.Run(fmt.Sprint(c.regions*c.perRegion), func(b *testing.B) {
			now := time.Unix(1000, 0)
			own := neighbour.Gateway{Name: "edge-0-0", Address: "10.0.0.0:7700", Region: "region-0"}
			table := exchange.New(own, nil, now)
			for r := range c.regions {
				for n := range c.perRegion {
					table.Meet(neighbour.Gateway{Name: fmt.Sprintf("edge-%d-%d", r, n), Address: fmt.Sprintf("10.%d.0.%d:7700", r, n), Region: fmt.Sprint("region-", r)}, now)
				}
			}
			b.ReportAllocs()
			for b.Loop() {
				table.Word("10.0.0.1:7700", nil, now)
			}
		})
	}
}
