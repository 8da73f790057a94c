package roll_test

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/neighbour"
	"almondreel.example/almondreel/internal/roll"
	"almondreel.example/almondreel/internal/site"
)

var began = time.Unix(1000, 0)

func at(ms int) time.Time { return began.Add(time.Duration(ms) * time.Millisecond) }

func agent(n int) neighbour.Agent {
	return neighbour.Agent{
		Name: fmt.Sprintf("side-delta-a-%d", n), Address: fmt.Sprintf("10.1.%d.%d:7700", n/250, n%250), Region: "delta",
		Service: "almond-pool", EngineAddress: fmt.Sprintf("10.1.%d.%d:8764", n/250, n%250), Born: 1784586127328,
		Holding: site.Holding{Model: "wuvo192e28", Version: 1, Whole: true}, Pieces: pieces(1, 1),
	}
}

func pieces(version int64, have uint64) neighbour.Pieces {
	return neighbour.Pieces{Model: "wuvo192e28", Version: version, Have: []uint64{have}}
}

func fill(count int) *roll.Roll {
	r := roll.New(7)
	for n := range count {
		r.Hear(agent(n), at(0), roll.Direct)
	}
	return r
}

func size(t *testing.T, values ...any) int {
	var b bytes.Buffer
	e := gob.NewEncoder(&b)
	before := 0
	for _, v := range values { // the first also carries the types, once a connection
		before = b.Len()
		require.NoError(t, e.Encode(v))
	}
	return b.Len() - before
}

func reply(u roll.Update) neighbour.SyncReply {
	return neighbour.SyncReply{Others: u.Others, Mark: u.Mark}
}

// Pattern: a calm site. What an agent is told at a word does not grow with it.
func TestACalmWordDoesNotGrowWithTheSite(t *testing.T) {
	const most = 250 // bytes: a quarter of 3 KB a second at four words a second, less what else is told
	for _, count := range []int{12, 120, 600} {
		r := fill(count)
		first := r.Since(neighbour.Mark{}, agent(0).Name, "almond-pool")
		require.True(t, first.Whole)
		require.Len(t, first.Agents, count-1)
		for n := range count {
			r.Hear(agent(n), at(250), roll.Direct)
		}
		again := r.Since(first.Mark, agent(0).Name, "almond-pool")
		require.False(t, again.Whole)
		require.Empty(t, again.Agents)
		require.Empty(t, again.Pieces)
		require.Less(t, size(t, reply(first), reply(again)), most, "%d agents", count)
	}
}

// Pattern: a version is brought to a region of 24 agents of 120. Each asks 14
// times a second and hears of the pieces that the others got in the meantime;
// those of other regions are passed on twice a second.
func TestWordsWhilePiecesFlyTakeLittleOfTheLink(t *testing.T) {
	const (
		region, linkBytes = 24, 7.6e6 / 8
		rounds, roundMS   = 28, 71
		mostShare         = 0.05
	)
	for _, count := range []int{12, 120} {
		r := fill(count)
		mark := r.Since(neighbour.Mark{}, agent(0).Name, "almond-pool").Mark
		bytes := 0
		for round := range rounds {
			for n := range count {
				if n >= region && round%7 != 0 {
					continue
				}
				a := agent(n)
				a.Pieces = pieces(2, uint64(1)<<(2*round+2)-1)
				r.Hear(a, at(round*roundMS+1), roll.Direct)
			}
			u := r.Since(mark, agent(0).Name, "almond-pool")
			bytes += size(t, reply(u), reply(u))
			mark = u.Mark
		}
		perSecond := float64(bytes) / (rounds * roundMS / 1000.0)
		require.Less(t, perSecond, mostShare*linkBytes, "%d agents", count)
	}
}

func TestAnAgentIsToldOnlyWhatChanged(t *testing.T) {
	r := fill(4)
	mark := r.Since(neighbour.Mark{}, agent(0).Name, "almond-pool").Mark

	more := agent(1)
	more.Pieces = pieces(1, 3)
	require.False(t, r.Hear(more, at(10), roll.Near), "pieces are no news to a gateway")
	changed := agent(2)
	changed.Switching = true
	require.True(t, r.Hear(changed, at(10), roll.Near))
	u := r.Since(mark, agent(0).Name, "almond-pool")
	require.Equal(t, []neighbour.Holder{{Name: more.Name, Pieces: more.Pieces}}, u.Pieces)
	require.Len(t, u.Agents, 1)
	require.Equal(t, changed.Name, u.Agents[0].Name)

	require.False(t, r.Hear(agent(2), at(5), roll.Near), "an older word changes nothing")
	other := r.Since(neighbour.Mark{Start: 6, Change: u.Mark.Change}, agent(0).Name, "almond-pool")
	require.True(t, other.Whole, "the gateway was started anew")
	require.Empty(t, r.Since(mark, agent(0).Name, "ledger").Agents)
}

func TestASilentAgentIsToldToBeGone(t *testing.T) {
	r := fill(3)
	mark := r.Since(neighbour.Mark{}, agent(0).Name, "almond-pool").Mark
	silent := int(roll.SilentTime.Milliseconds())
	r.Hear(agent(0), at(silent), roll.Direct)
	r.Seen(agent(1).Name, at(silent))
	r.Expire(at(silent + 1))
	u := r.Since(mark, agent(0).Name, "almond-pool")
	require.Equal(t, []string{agent(2).Name}, u.Gone)
	_, ok := r.Beside(agent(2).EngineAddress)
	require.False(t, ok)

	r.Hear(agent(2), at(silent+2), roll.Direct)
	u = r.Since(mark, agent(0).Name, "almond-pool")
	require.Empty(t, u.Gone)
	require.Len(t, u.Agents, 1, "it is back")
}

// A change that is to begin in 800 ms begins in 300 ms when the word is half a
// second older.
func TestAWordThatStandsIsToldAsOfItsLastMoment(t *testing.T) {
	r := roll.New(1)
	a := agent(0)
	a.Change = neighbour.Change{Version: 2, StartMilliseconds: 800, EndMilliseconds: 1200}
	r.Hear(a, at(0), roll.Direct)
	r.Seen(a.Name, at(500))
	w, ok := r.Beside(a.EngineAddress)
	require.True(t, ok)
	require.Equal(t, at(500), w.At)
	require.Equal(t, neighbour.Change{Version: 2, StartMilliseconds: 300, EndMilliseconds: 700}, w.Change)
}

func TestAGatewayIsToldNewsOnceAndThatTheRestIsAlive(t *testing.T) {
	due := func(ms int) roll.Due { return roll.Due{Alive: at(ms - 600), Pieces: at(ms - 500)} }
	all := func(roll.Word) bool { return true }
	r := fill(2)
	var told roll.Told
	words, alive := r.News(&told, at(0), due(0), all)
	require.Len(t, words, 2)
	require.Empty(t, alive)

	got := agent(0)
	got.Pieces = pieces(1, 7)
	r.Hear(got, at(100), roll.Direct)
	words, alive = r.News(&told, at(150), due(150), all)
	require.Empty(t, words, "pieces wait")
	require.Empty(t, alive)
	words, _ = r.News(&told, at(500), due(500), all)
	require.Len(t, words, 1)
	_, alive = r.News(&told, at(650), due(650), all)
	require.Equal(t, []neighbour.Seen{{Name: agent(1).Name, AgeMilliseconds: 650}}, alive)

	words, _ = r.News(&roll.Told{}, at(660), due(660), func(w roll.Word) bool { return w.Name == agent(1).Name })
	require.Len(t, words, 1)
}

func BenchmarkSince(b *testing.B) {
	for _, count := range []int{12, 120, 600} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			r := fill(count)
			mark := r.Since(neighbour.Mark{}, agent(0).Name, "almond-pool").Mark
			b.ReportAllocs()
			for b.Loop() {
				r.Since(mark, agent(0).Name, "almond-pool")
			}
		})
	}
}
