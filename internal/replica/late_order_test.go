package replica_test

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/desired"
	"almondreel.example/almondreel/internal/engine"
	"almondreel.example/almondreel/internal/serving"
	"almondreel.example/almondreel/internal/source"
	standinengine "almondreel.example/almondreel/internal/standin/engine"
	standinsource "almondreel.example/almondreel/internal/standin/source"
)

// An engine accepted an order and answered it with a refusal. No request may be admitted
// while it loads, because its version changes in the middle of it.
func TestRefusedOrderThatTakesEffectClosesStatus(t *testing.T) {
	for _, code := range []int{http.StatusConflict, http.StatusInternalServerError} {
		f := newFixture(t, standinengine.Options{}, 0)
		first, second := f.publish("1", 1), f.publish("2", 2)
		f.place(first, 1)
		f.awaitServing(first.Digest())
		e := &refusingEngine{code: code, state: engine.State{Digest: first.Digest(), Started: f.engine.State().Started}}
		f.setIntercept(e.ServeHTTP)
		f.place(second, 2, first.Digest())
		require.Eventually(t, func() bool { return e.current().Loading != "" }, 10*time.Second, time.Millisecond)
		time.Sleep(500 * time.Millisecond)
		require.Never(t, func() bool { return f.status.Status().Open }, 2*time.Second, 2*time.Millisecond)
		e.finish()
		f.awaitServing(second.Digest())
		require.Len(t, f.receivedOrders(), 2, "an order that takes effect is not sent again")
		f.assertOrders()
	}
}

// refusingEngine answers each order with a refusal and takes it into effect all the same:
// it serves its version until finish is called.
type refusingEngine struct {
	code  int
	mu    sync.Mutex
	state engine.State
}

func (e *refusingEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch r.URL.Path {
	case engine.LoadModelPath:
		var order engine.LoadModel
		_ = json.NewDecoder(r.Body).Decode(&order)
		e.state.Loading = order.Digest
		http.Error(w, "refused", e.code)
	case engine.StatePath:
		_ = json.NewEncoder(w).Encode(e.state)
	default:
		_ = json.NewEncoder(w).Encode(engine.Load{Slots: 1})
	}
}

func (e *refusingEngine) current() engine.State {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state
}

// finish ends the load in progress.
func (e *refusingEngine) finish() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state.Digest, e.state.Loading = e.state.Loading, ""
}

// The engine was silent when an order was sent, another version was placed meanwhile, and
// the engine accepts the former order while it loads the placed version. The status may open
// for the placed version only. A backoff of 250 to 750 ms comes before the next order, which
// may end the former version's load of 500 ms. So an engine that doesn't check orders gets it
// at any time, and in another case only once the former version was seen loaded.
func TestOrderAcceptedAfterSilenceDoesNotServeOldPlacement(t *testing.T) {
	const silence = 3500 * time.Millisecond
	for _, c := range []struct{ checksOrders, awaitsFormer bool }{{true, false}, {false, true}, {false, false}} {
		f := newFixture(t, standinengine.Options{ChecksOrders: c.checksOrders, LoadMilliseconds: 500}, 0)
		first, second, third := f.publish("1", 1), f.publish("2", 2), f.publish("3", 3)
		f.place(first, 1)
		f.awaitServing(first.Digest())
		e := &silentEngine{
			Server: f.engine,
			late:   engine.LoadModel{Digest: second.Digest(), Whole: second.Whole, Source: f.originURL("2"), FencingNumber: 2},
			wake:   make(chan struct{}),
			resume: make(chan struct{}),
		}
		if !c.awaitsFormer {
			close(e.resume)
		}
		f.setIntercept(e.ServeHTTP)
		f.place(second, 2)
		require.Eventually(t, e.silent.Load, 10*time.Second, time.Millisecond)
		wakeAt := time.Now().Add(silence)
		time.Sleep(time.Second)
		f.place(third, 3)
		time.Sleep(time.Until(wakeAt))
		close(e.wake)
		until, secondLoaded := time.Now().Add(5*time.Second), false
		for time.Now().Before(until) {
			s := f.status.Status()
			require.False(t, s.Open && s.Digest != third.Digest(), "status is open for %s", s.Digest)
			if !secondLoaded && s.Digest == second.Digest() {
				secondLoaded = true
				require.False(t, c.checksOrders, "the former order was accepted")
				if c.awaitsFormer {
					close(e.resume)
				}
			}
			time.Sleep(2 * time.Millisecond)
		}
		if c.awaitsFormer {
			require.True(t, secondLoaded)
		}
		f.awaitServing(third.Digest())
		require.Equal(t, third.Digest(), e.State().Digest)
		require.Zero(t, f.unverified.Load())
	}
}

// silentEngine is silent from an order for the version of late until wake closes. It
// accepts that order once it loads another version, and later ones once resume closes.
type silentEngine struct {
	*standinengine.Server
	late     engine.LoadModel
	silent   atomic.Bool
	accepted atomic.Bool // late was passed to Server
	wake     chan struct{}
	resume   chan struct{}
}

func (e *silentEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == engine.LoadModelPath && !e.silent.Load() {
		e.silent.Store(true)
		<-e.wake
		for until := time.Now().Add(10 * time.Second); e.State().Loading == "" && time.Now().Before(until); {
			time.Sleep(time.Millisecond)
		}
		body, _ := json.Marshal(e.late)
		r.Body = io.NopCloser(bytes.NewReader(body))
		e.accepted.Store(true)
	} else if r.URL.Path == engine.LoadModelPath && e.accepted.Load() {
		select {
		case <-e.resume:
		case <-r.Context().Done():
			return
		}
	}
	if e.silent.Load() {
		<-e.wake
	}
	e.Server.ServeHTTP(w, r)
}

// originURL returns the URL from which the origin serves a version of the model.
func (f *fixture) originURL(version string) string {
	return f.agent.Settings.Origin + source.WeightsPath("model", version)
}

// An agent ended with an order on its way. The next one opens for the version that the
// engine states only once it holds that version whole itself, and orders no second load.
func TestNewAgentVerifiesVersionOfEarlierAgentsOrder(t *testing.T) {
	f := newFixture(t, standinengine.Options{LoadMilliseconds: 1500}, 0)
	m := f.publish("1", 1)
	f.place(m, 1)
	require.Eventually(t, func() bool { return f.engine.State().Loading == m.Digest() }, 10*time.Second, time.Millisecond)
	time.Sleep(500 * time.Millisecond) // the engine has read the weights
	f.stop()
	f.agent.Kill()

	f.swarm.Origin.SetFaults(standinsource.Faults{Down: true})
	a, err := f.swarm.Add()
	require.NoError(t, err)
	f.agent, f.desired, f.status = a, desired.NewState(), serving.NewTracker()
	f.startReconciler()
	f.place(m, 2)
	require.Eventually(t, func() bool { return f.engine.State().Digest == m.Digest() }, 10*time.Second, time.Millisecond)
	require.Never(t, func() bool { return f.status.Status().Open }, time.Second, 5*time.Millisecond)
	f.swarm.Origin.SetFaults(standinsource.Faults{})
	require.Eventually(t, func() bool {
		open := f.status.Status().Open
		require.False(t, open && !a.Weights.Store.Verified(m.Digest()), "open for a version that was not verified")
		return open
	}, 15*time.Second, 5*time.Millisecond)
	require.Len(t, f.receivedOrders(), 1)
	f.assertOrders()
}

// An engine restarted with an order in progress whose connection stayed open. The agent
// waited for the answer for ten minutes.
func TestRestartOfEngineEndsOrderInProgress(t *testing.T) {
	f := newFixture(t, standinengine.Options{ChecksOrders: true}, 0)
	e, received := f.engine, make(chan struct{})
	f.setIntercept(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != engine.LoadModelPath {
			e.ServeHTTP(w, r)
			return
		}
		close(received)
		<-r.Context().Done()
	})
	m := f.publish("1", 1)
	f.place(m, 1)
	select {
	case <-received:
	case <-time.After(10 * time.Second):
		require.Fail(t, "no order")
	}
	f.replaceEngine(standinengine.Options{ChecksOrders: true})
	f.setIntercept(nil)
	f.awaitServing(m.Digest())
	require.Zero(t, f.unverified.Load())
}
