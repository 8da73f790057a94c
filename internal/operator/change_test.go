package operator_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/compress"
	"almondreel.example/almondreel/internal/kv"
	"almondreel.example/almondreel/internal/operator"
	standinkv "almondreel.example/almondreel/internal/standin/kv"
)

func newStore(t *testing.T) (*standinkv.Server, kv.Key) {
	s := standinkv.New(standinkv.Options{})
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	return s, kv.Key{Client: kv.NewClient(server.URL), Name: operator.ConfigurationKey}
}

func setPriority(priority int) operator.Edit {
	return func(current operator.Class, found bool) (operator.Class, error) {
		if !found {
			current = operator.Class{Kind: operator.Plain, Service: "ledger"}
		}
		current.Priority = priority
		return current, nil
	}
}

func withName(name string, edit operator.Edit) operator.Edit {
	return func(current operator.Class, found bool) (operator.Class, error) {
		c, err := edit(current, found)
		c.Name = name
		return c, err
	}
}

func document(t *testing.T, k kv.Key) operator.Document {
	e, err := k.Read(context.Background())
	require.NoError(t, err)
	d, err := operator.Decode(e)
	require.NoError(t, err)
	return d
}

func inHistory(d operator.Document, id string) bool {
	for _, c := range d.History {
		if c.ChangeID == id {
			return true
		}
	}
	return false
}

type report struct {
	class    string
	priority int
	outcome  operator.Outcome
}

// Concurrent edits of two classes, while answers are lost and writes arrive late, must
// not be reported as accepted or rejected contrary to the stored document.
func TestConcurrentEditsReportTrueOutcomes(t *testing.T) {
	seed := uint64(time.Now().UnixNano())
	t.Logf("seed %d", seed)
	random := rand.New(rand.NewPCG(seed, 0))
	s, k := newStore(t)
	stop := make(chan struct{})
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		injectFaults(s, random, stop)
	}()
	reports := runConcurrentEdits(k)
	close(stop)
	<-stopped
	s.SetFaults(standinkv.Faults{})
	time.Sleep(400 * time.Millisecond) // lets late writes arrive
	d := document(t, k)
	last := map[string]int{}
	for _, c := range d.History {
		for _, r := range reports {
			if changeID(r.outcome) == c.ChangeID {
				last[c.Class] = r.priority
			}
		}
	}
	counts := map[string]int{}
	for _, r := range reports {
		counts[fmt.Sprintf("%T", r.outcome)]++
		switch o := r.outcome.(type) {
		case operator.Accepted:
			require.True(t, inHistory(d, o.ChangeID), "%s was reported accepted", o.ChangeID)
		case operator.Rejected:
			require.False(t, inHistory(d, o.ChangeID), "%s was reported rejected", o.ChangeID)
			require.NotEmpty(t, o.Differences, "a rejection lists the differences")
			require.IsType(t, operator.Rejected{}, operator.Status(context.Background(), k, o.ChangeID))
		}
	}
	t.Logf("outcomes %v", counts)
	for name, priority := range last {
		c, _ := d.Class(name)
		require.Equal(t, priority, c.Priority, "class %s has the priority of its last accepted change", name)
	}
}

func changeID(o operator.Outcome) string {
	switch o := o.(type) {
	case operator.Accepted:
		return o.ChangeID
	case operator.Rejected:
		return o.ChangeID
	case operator.Unknown:
		return o.ChangeID
	}
	return ""
}

func runConcurrentEdits(k kv.Key) []report {
	const operators, changes = 6, 40
	var mu sync.Mutex
	var reports []report
	done := make(chan struct{}, operators)
	for o := range operators {
		go func() {
			defer func() { done <- struct{}{} }()
			for c := range changes {
				ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
				name := fmt.Sprintf("class-%d", (o+c)%2)
				priority := 1 + o*changes + c
				editor := operator.Editor{Store: k, Operator: fmt.Sprintf("operator-%d", o)}
				outcome := editor.Apply(ctx, name, withName(name, setPriority(priority)))
				cancel()
				mu.Lock()
				reports = append(reports, report{name, priority, outcome})
				mu.Unlock()
			}
		}()
	}
	for range operators {
		<-done
	}
	return reports
}

func injectFaults(s *standinkv.Server, random *rand.Rand, stop <-chan struct{}) {
	for {
		choices := []standinkv.Faults{{}, {LoseAnswersOneIn: 2}, {LateWriteMilliseconds: 150}, {Down: true}, {StaleReads: true}, {DelayMilliseconds: 30}}
		s.SetFaults(choices[random.IntN(len(choices))])
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(20+random.IntN(120)) * time.Millisecond):
		}
	}
}

// withFaults returns an edit of class c that makes the store inject faults f.
func withFaults(s *standinkv.Server, f standinkv.Faults) operator.Edit {
	return func(current operator.Class, found bool) (operator.Class, error) {
		s.SetFaults(f)
		return withName("c", setPriority(3))(current, found)
	}
}

func TestLostAnswerIsUnknownThenAccepted(t *testing.T) {
	s, k := newStore(t)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	outcome := operator.Editor{Store: k, Operator: "a"}.Apply(ctx, "c", withFaults(s, standinkv.Faults{LoseAnswersOneIn: 1}))
	// Every answer is lost, conflicts too, so the outcome is unknown until Status is read.
	require.IsType(t, operator.Unknown{}, outcome)
	s.SetFaults(standinkv.Faults{})
	require.IsType(t, operator.Accepted{}, operator.Status(context.Background(), k, changeID(outcome)))
}

func TestLateWriteIsNotReportedRejected(t *testing.T) {
	s, k := newStore(t)
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	outcome := operator.Editor{Store: k, Operator: "a"}.Apply(ctx, "c", withFaults(s, standinkv.Faults{LateWriteMilliseconds: 700}))
	require.IsType(t, operator.Unknown{}, outcome)
	s.SetFaults(standinkv.Faults{})
	require.IsType(t, operator.Unknown{}, operator.Status(context.Background(), k, changeID(outcome)), "the write is still in flight")
	require.Eventually(t, func() bool {
		_, ok := operator.Status(context.Background(), k, changeID(outcome)).(operator.Accepted)
		return ok
	}, 3*time.Second, 20*time.Millisecond)
}

func TestConcurrentChangeOfAnotherClassIsReapplied(t *testing.T) {
	_, k := newStore(t)
	a, b := operator.Editor{Store: k, Operator: "a"}, operator.Editor{Store: k, Operator: "b"}
	ctx := context.Background()
	outcome := a.Apply(ctx, "one", func(operator.Class, bool) (operator.Class, error) {
		inner := b.Apply(ctx, "two", withName("two", setPriority(2)))
		require.IsType(t, operator.Accepted{}, inner)
		return withName("one", setPriority(1))(operator.Class{}, false)
	})
	require.IsType(t, operator.Accepted{}, outcome)
	require.Len(t, document(t, k).Classes, 2)
}

func TestConcurrentChangeOfSameClassIsRejectedWithDifferences(t *testing.T) {
	_, k := newStore(t)
	a, b := operator.Editor{Store: k, Operator: "a"}, operator.Editor{Store: k, Operator: "b"}
	ctx := context.Background()
	require.IsType(t, operator.Accepted{}, a.Apply(ctx, "one", withName("one", setPriority(1))))
	outcome := a.Apply(ctx, "one", func(current operator.Class, found bool) (operator.Class, error) {
		require.IsType(t, operator.Accepted{}, b.Apply(ctx, "one", setPriority(7)))
		return setPriority(5)(current, found)
	})
	rejected, ok := outcome.(operator.Rejected)
	require.True(t, ok, "%+v", outcome)
	require.Equal(t, []string{`Priority: "1" is now "7"`}, rejected.Differences)
	require.Equal(t, "b", rejected.By.Operator)
}

func TestLargeDocumentFits(t *testing.T) {
	var d operator.Document
	for i := range 400 {
		d = d.WithClass(operator.Class{Name: fmt.Sprintf("class-of-work-number-%d", i), Kind: operator.Model, Service: "assistant",
			Target: operator.Target{Model: "assistant", Version: "2026-12-04.1", Replicas: 400, ReadyBy: time.Now(), Weighing: operator.Time, AnswerMilliseconds: 30000}})
	}
	for i := range 1000 {
		d = d.WithChange(operator.Change{ChangeID: fmt.Sprintf("%d-%s", 1000000+i, uuid.NewString()),
			Class: fmt.Sprintf("class-of-work-number-%d", i%400), Operator: "an-operator", At: time.Now(), Revision: uint64(1000000 + i)})
	}
	require.Len(t, d.History, operator.MaxHistory)
	text, err := json.Marshal(d)
	require.NoError(t, err)
	t.Logf("%d bytes, %d without history, %d stored", len(text), len(d.WithoutHistory().Encode()), len(compress.Gzip(text)))
	require.Less(t, len(text), operator.MaxDocumentBytes/2)
}

func TestOversizedDocumentIsRejected(t *testing.T) {
	_, k := newStore(t)
	huge := func(current operator.Class, _ bool) (operator.Class, error) {
		current.Service = string(make([]byte, operator.MaxDocumentBytes))
		return current, nil
	}
	outcome := operator.Editor{Store: k}.Apply(context.Background(), "one", withName("one", huge))
	failed, ok := outcome.(operator.Failed)
	require.True(t, ok)
	require.ErrorContains(t, failed.Err, "at most 1048576 fit")
}
