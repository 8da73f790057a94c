package settle_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/pkg/settle"
)

var errFault = errors.New("fault")

// faulty is a store whose answers get lost, whose writes come late and whose
// conflicts may show an older entry. A value is the list of the changes made.
type faulty struct {
	mu      sync.Mutex
	random  *rand.Rand
	entries []settle.Entry // all that ever stood, newest last
	late    []func()
	calm    bool
}

func (f *faulty) last() settle.Entry {
	if len(f.entries) == 0 {
		return settle.Entry{}
	}
	return f.entries[len(f.entries)-1]
}

func (f *faulty) Read(context.Context) (settle.Entry, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.calm && f.random.IntN(4) == 0 {
		return settle.Entry{}, errFault
	}
	return f.older(), nil
}

// older returns the newest entry or, at times, one before it.
func (f *faulty) older() settle.Entry {
	if f.calm || len(f.entries) < 2 || f.random.IntN(4) > 0 {
		return f.last()
	}
	return f.entries[len(f.entries)-2]
}

func (f *faulty) apply(value []byte, revision uint64) (settle.Entry, bool) {
	if f.last().Revision != revision {
		return f.last(), false
	}
	f.entries = append(f.entries, settle.Entry{Value: value, Revision: revision + 1 + uint64(f.random.IntN(3))})
	return f.last(), true
}

func (f *faulty) Swap(_ context.Context, value []byte, revision uint64) settle.Answer {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.calm {
		switch f.random.IntN(6) {
		case 0:
			return settle.Unavailable{Err: errFault}
		case 1:
			return settle.Lost{Err: errFault} // the write never arrived
		case 2:
			_, _ = f.apply(value, revision)
			return settle.Lost{Err: errFault}
		case 3:
			f.late = append(f.late, func() { _, _ = f.apply(value, revision) })
			return settle.Lost{Err: errFault}
		}
	}
	if e, ok := f.apply(value, revision); ok {
		return settle.Written{Revision: e.Revision}
	}
	return settle.Conflict{Current: f.older()}
}

// arrive lets one late write take effect.
func (f *faulty) arrive() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.late) > 0 {
		i := f.random.IntN(len(f.late))
		f.late[i]()
		f.late = append(f.late[:i], f.late[i+1:]...)
	}
}

func (f *faulty) holds(change string) bool {
	return strings.Contains(string(f.last().Value), change+";")
}

// write makes one change and returns its outcome.
func write(ctx context.Context, f *faulty, change string) settle.Outcome {
	e, err := settle.Read(ctx, f)
	if err != nil {
		return settle.NotWritten{Err: err}
	}
	return settle.Do(ctx, f, settle.Write{
		Value:    append(append([]byte{}, e.Value...), change+";"...),
		Revision: e.Revision,
		Trace: func(e settle.Entry) settle.Trace {
			if strings.Contains(string(e.Value), change+";") {
				return settle.Present
			}
			return settle.Absent
		},
	})
}

// Several writers race over a faulty store. What each is told must agree with
// what stands in the end, whatever arrives late.
func TestOutcomesAgreeWithTheStore(t *testing.T) {
	seed := uint64(time.Now().UnixNano())
	for round := range 12 {
		t.Logf("seed %d", seed+uint64(round))
		race(t, seed+uint64(round))
	}
}

func race(t *testing.T, seed uint64) {
	f := &faulty{random: rand.New(rand.NewPCG(seed, 0))}
	ctx, cancel := context.WithTimeout(context.Background(), 400*time.Millisecond)
	defer cancel()
	const writers = 6
	type result struct {
		change  string
		outcome settle.Outcome
	}
	results := make(chan result, writers)
	for w := range writers {
		go func() {
			change := fmt.Sprintf("change-%d", w)
			results <- result{change, write(ctx, f, change)}
		}()
	}
	var all []result
	for len(all) < writers {
		select {
		case r := <-results:
			all = append(all, r)
		case <-time.After(20 * time.Millisecond):
			f.arrive()
		}
	}
	for range writers * 8 {
		f.arrive()
	}
	for _, r := range all {
		switch r.outcome.(type) {
		case settle.Accepted:
			require.True(t, f.holds(r.change), "seed %d: %s was told accepted", seed, r.change)
		case settle.Rejected, settle.NotWritten:
			require.False(t, f.holds(r.change), "seed %d: %s was told %T", seed, r.change, r.outcome)
		}
	}
}

// answers is a store that gives its answers in turn.
type answers struct {
	list []settle.Answer
}

func (a *answers) Read(context.Context) (settle.Entry, error) { return settle.Entry{}, nil }

func (a *answers) Swap(context.Context, []byte, uint64) settle.Answer {
	next := a.list[0]
	if len(a.list) > 1 {
		a.list = a.list[1:]
	}
	return next
}

func TestDoTellsWhatTheAnswersProve(t *testing.T) {
	lost := settle.Lost{Err: errFault}
	down := settle.Unavailable{Err: errFault}
	newer := settle.Conflict{Current: settle.Entry{Revision: 9}}
	older := settle.Conflict{Current: settle.Entry{Revision: 3}}
	cases := []struct {
		name    string
		answers []settle.Answer
		trace   settle.Trace
		want    settle.Outcome
	}{
		{"written", []settle.Answer{settle.Written{Revision: 6}}, settle.Absent, settle.Accepted{Revision: 6}},
		{"lost, then written", []settle.Answer{lost, settle.Written{Revision: 6}}, settle.Absent, settle.Accepted{Revision: 6}},
		{"lost, then present", []settle.Answer{lost, newer}, settle.Present, settle.Accepted{Revision: 9}},
		{"lost, then absent", []settle.Answer{lost, newer}, settle.Absent, settle.Rejected(newer)},
		{"lost, then forgotten", []settle.Answer{lost, newer}, settle.Forgotten, settle.Unknown{Err: errFault}},
		{"lost, then an older conflict, then written", []settle.Answer{lost, older, settle.Written{Revision: 6}}, settle.Absent, settle.Accepted{Revision: 6}},
		{"down for good", []settle.Answer{down}, settle.Absent, settle.NotWritten{Err: errFault}},
		{"lost, then down for good", []settle.Answer{lost, down}, settle.Absent, settle.Unknown{Err: errFault}},
		{"lost, then refused", []settle.Answer{lost, settle.Refused{Err: errFault}}, settle.Absent, settle.Unknown{Err: errFault}},
		{"conflict at once", []settle.Answer{newer}, settle.Present, settle.Rejected(newer)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
			defer cancel()
			got := settle.Do(ctx, &answers{list: c.answers}, settle.Write{
				Revision: 5,
				Trace:    func(settle.Entry) settle.Trace { return c.trace },
			})
			require.Equal(t, c.want, got)
		})
	}
}
