// Package roll holds what agents last said, numbered by change, so that others
// are told only what they have not heard: what a process hears grows with what
// happens on the site and not with its size.
//
// Nothing here reads a clock or touches a network.
package roll

import (
	"slices"
	"time"

	"almondreel.example/almondreel/internal/neighbour"
)

const (
	// SilentTime is how long an agent that says nothing counts as alive: several
	// rounds of what gateways tell each other.
	SilentTime = 2400 * time.Millisecond
	// maxGone bounds the agents that are remembered as gone; who asks for more is
	// told everything.
	maxGone = 512
)

// Way is how a word came to this process.
type Way int

// Ways of words.
const (
	Direct Way = iota // the agent said it here
	Near              // a gateway of the same region passed it on
	Far               // a gateway of another region did
)

// Word is what an agent said, when, and how it came here.
type Word struct {
	neighbour.Agent
	At  time.Time
	Way Way
}

type entry struct {
	Word
	changed int64 // number of the last change beside its pieces
	got     int64 // number of the last change of its pieces
}

type departure struct {
	name   string
	change int64
}

// Roll is not safe for concurrent use.
type Roll struct {
	start   int64 // differs between starts of a process
	change  int64
	floor   int64 // agents that went before are forgotten
	entries map[string]*entry
	engines map[string]string // name of the agent beside an engine, by the engine's address
	gone    []departure
}

// New returns an empty roll. start tells it from that of an earlier start.
func New(start int64) *Roll {
	return &Roll{start: start, entries: map[string]*entry{}, engines: map[string]string{}}
}

// Hear takes an agent's word and reports whether it says something new beside
// pieces.
func (r *Roll) Hear(a neighbour.Agent, at time.Time, way Way) bool {
	held, ok := r.entries[a.Name]
	if ok && !at.After(held.At) {
		return false
	}
	if !ok {
		held = &entry{}
		r.entries[a.Name] = held
	}
	news := !ok || still(held.Agent) != still(a)
	pieces := held.Pieces
	if news || !samePieces(pieces, a.Pieces) {
		r.change++
		held.got = r.change
	}
	if news {
		held.changed = r.change
	}
	held.Word = Word{Agent: a, At: at, Way: way}
	r.engines[a.EngineAddress] = a.Name
	return news
}

// Seen notes that an agent was alive at a moment, as it said before.
func (r *Roll) Seen(name string, at time.Time) {
	if held, ok := r.entries[name]; ok && at.After(held.At) {
		shift(&held.Word, at)
	}
}

// shift moves a word to a later moment. What it says of the time left until a
// change is told as of that moment.
func shift(w *Word, at time.Time) {
	passed := at.Sub(w.At).Milliseconds()
	if w.Change.Version != 0 {
		w.Change.StartMilliseconds -= passed
		w.Change.EndMilliseconds -= passed
	}
	w.At = at
}

// standing is what an agent says of itself, without what changes all the time.
type standing struct {
	address, region, service, engine string
	born, ready, change              int64
	model                            string
	version                          int64
	whole, switching                 bool
}

func still(a neighbour.Agent) standing {
	return standing{
		address: a.Address, region: a.Region, service: a.Service, engine: a.EngineAddress,
		born: a.Born, ready: a.Ready, change: a.Change.Version,
		model: a.Holding.Model, version: a.Holding.Version, whole: a.Holding.Whole, switching: a.Switching,
	}
}

func samePieces(x, y neighbour.Pieces) bool {
	return x.Model == y.Model && x.Version == y.Version && slices.Equal(x.Have, y.Have)
}

// Expire drops agents that have said nothing for SilentTime.
func (r *Roll) Expire(now time.Time) {
	for name, e := range r.entries {
		if now.Sub(e.At) <= SilentTime {
			continue
		}
		delete(r.entries, name)
		if r.engines[e.EngineAddress] == name {
			delete(r.engines, e.EngineAddress)
		}
		r.change++
		r.gone = append(r.gone, departure{name, r.change})
	}
	if over := len(r.gone) - maxGone; over > 0 {
		r.floor = r.gone[over-1].change
		r.gone = slices.Delete(r.gone, 0, over)
	}
}

// Beside returns the word of the agent beside an engine.
func (r *Roll) Beside(engine string) (Word, bool) {
	e, ok := r.entries[r.engines[engine]]
	if !ok {
		return Word{}, false
	}
	return e.Word, true
}

// Update is what an agent has not heard, and the mark up to which it then has.
type Update struct {
	neighbour.Others
	Mark neighbour.Mark
}

// Since returns what changed after a mark, for the agent of that name.
func (r *Roll) Since(mark neighbour.Mark, name, service string) Update {
	u := Update{Mark: neighbour.Mark{Start: r.start, Change: r.change}}
	u.Whole = mark.Start != r.start || mark.Change < r.floor
	for _, e := range r.entries {
		switch {
		case e.Name == name || e.Service != service:
		case u.Whole || e.changed > mark.Change:
			u.Agents = append(u.Agents, brief(e.Agent))
		case e.got > mark.Change:
			u.Pieces = append(u.Pieces, neighbour.Holder{Name: e.Name, Pieces: e.Pieces})
		}
	}
	for _, d := range r.gone {
		if _, back := r.entries[d.name]; !u.Whole && !back && d.change > mark.Change {
			u.Gone = append(u.Gone, d.name)
		}
	}
	return u
}

// brief leaves out what agents do not need to know of each other.
func brief(a neighbour.Agent) neighbour.Agent {
	a.EngineAddress, a.Ready, a.Change, a.AgeMilliseconds = "", 0, neighbour.Change{}, 0
	return a
}

// Told is what another gateway was told, so that it is told only what is new.
// It is not safe for concurrent use.
type Told struct {
	agents map[string]telling
}

type telling struct {
	changed, got int64
	at           time.Time
}

// Due says what a gateway is to be told once more.
type Due struct {
	Alive  time.Time // agents of which it was told before then, unchanged, are alive
	Pieces time.Time // pieces of agents of which it was told before then
}

// News returns what to tell a gateway of the agents that pick chooses: words
// that changed, and the names of those that are alive and unchanged.
func (r *Roll) News(told *Told, now time.Time, due Due, pick func(Word) bool) (words []neighbour.Agent, alive []neighbour.Seen) {
	if told.agents == nil {
		told.agents = map[string]telling{}
	}
	for name, e := range r.entries {
		if !pick(e.Word) {
			continue
		}
		held, ok := told.agents[name]
		age := now.Sub(e.At).Milliseconds()
		switch {
		case !ok || held.changed != e.changed || held.got != e.got && !held.at.After(due.Pieces):
			word := e.Agent
			word.AgeMilliseconds = age
			words = append(words, word)
			told.agents[name] = telling{e.changed, e.got, now}
		case !held.at.After(due.Alive):
			alive = append(alive, neighbour.Seen{Name: name, AgeMilliseconds: age})
			told.agents[name] = telling{held.changed, held.got, now}
		}
	}
	for name := range told.agents {
		if _, ok := r.entries[name]; !ok {
			delete(told.agents, name)
		}
	}
	return words, alive
}
