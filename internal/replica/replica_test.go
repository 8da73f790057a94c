package replica_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"k8s.io/klog/v2"

	"almondreel.example/almondreel/internal/desired"
	"almondreel.example/almondreel/internal/engine"
	"almondreel.example/almondreel/internal/gateway"
	"almondreel.example/almondreel/internal/manifest"
	"almondreel.example/almondreel/internal/operator"
	"almondreel.example/almondreel/internal/placement"
	"almondreel.example/almondreel/internal/replica"
	"almondreel.example/almondreel/internal/serving"
	"almondreel.example/almondreel/internal/settings"
	"almondreel.example/almondreel/internal/source"
	standinengine "almondreel.example/almondreel/internal/standin/engine"
	standinsource "almondreel.example/almondreel/internal/standin/source"
	"almondreel.example/almondreel/internal/swarm"
)

const modelBytes = 1 << 20

func TestMain(m *testing.M) {
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	os.Exit(m.Run())
}

// fixture is one agent with an engine behind a handler that records its load orders.
type fixture struct {
	t       *testing.T
	swarm   *swarm.Swarm
	agent   *swarm.Agent
	stop    func() // ends the reconciler
	desired *desired.State
	status  *serving.Tracker

	engineAddress string

	mu         sync.Mutex
	engine     *standinengine.Server
	intercept  http.HandlerFunc // handles requests in the engine's place; nil: none
	orders     []engine.LoadModel
	pending    atomic.Int32 // orders in flight
	overlaps   atomic.Int32 // orders sent while another was in flight
	unverified atomic.Int32 // orders for a version not yet verified
}

func newFixture(t *testing.T, o standinengine.Options, originBytes int64) *fixture {
	t.Helper()
	s, err := swarm.Start(swarm.Options{Agents: 1, OriginBytes: originBytes, Link: settings.Link{}})
	require.NoError(t, err)
	t.Cleanup(s.Close)
	f := &fixture{t: t, swarm: s, agent: s.Agents()[0], desired: desired.NewState(), status: serving.NewTracker()}
	f.engine = standinengine.New(o)
	server := httptest.NewServer(http.HandlerFunc(f.serveEngine))
	t.Cleanup(server.Close)
	f.engineAddress = strings.TrimPrefix(server.URL, "http://")
	f.stop = f.startReconciler()
	return f
}

// startReconciler starts a reconciler for the agent. It returns a function that ends it.
func (f *fixture) startReconciler() (stop func()) {
	configured := f.agent.Settings
	configured.Backend = settings.Backend{Kind: settings.KindEngine, Address: f.engineAddress}
	reconciler := replica.New(configured, f.desired, f.status, f.agent.Weights)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- reconciler.Run(ctx) }()
	stop = sync.OnceFunc(func() {
		cancel()
		<-ended
	})
	f.t.Cleanup(stop)
	return stop
}

func (f *fixture) setIntercept(h http.HandlerFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.intercept = h
}

func (f *fixture) serveEngine(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	var e http.Handler = f.engine
	if f.intercept != nil {
		e = f.intercept
	}
	f.mu.Unlock()
	if r.URL.Path != engine.LoadModelPath {
		e.ServeHTTP(w, r)
		return
	}
	text, _ := io.ReadAll(r.Body)
	r.Body = io.NopCloser(strings.NewReader(string(text)))
	var order engine.LoadModel
	_ = json.Unmarshal(text, &order)
	f.mu.Lock()
	f.orders = append(f.orders, order)
	f.mu.Unlock()
	if !f.agent.Weights.Store.Verified(order.Digest) {
		f.unverified.Add(1)
	}
	if f.pending.Add(1) > 1 {
		f.overlaps.Add(1)
	}
	defer f.pending.Add(-1)
	e.ServeHTTP(w, r)
}

func (f *fixture) replaceEngine(o standinengine.Options) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.engine = standinengine.New(o)
}

func (f *fixture) receivedOrders() []engine.LoadModel {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]engine.LoadModel(nil), f.orders...)
}

func (f *fixture) publish(version string, seed uint64) manifest.Manifest {
	m, err := f.swarm.Origin.Publish("model", version, standinsource.Version{Bytes: modelBytes, Seed: seed, ChunkBytes: 64 << 10})
	require.NoError(f.t, err)
	return m
}

// place places version m; the previous ones may be served until m is.
func (f *fixture) place(m manifest.Manifest, revision uint64, previous ...manifest.Digest) {
	p := placement.Placement{Assignments: []placement.Assignment{{
		Class: "class", Kind: operator.Model, Model: m.Model, Version: m.Version, Digest: m.Digest(),
		Weighing: operator.Time, Instances: []string{f.agent.Settings.Name}, Previous: previous,
	}}}
	f.setPlacement(p, revision)
}

func (f *fixture) setPlacement(p placement.Placement, revision uint64) {
	text, err := json.Marshal(p)
	require.NoError(f.t, err)
	require.NoError(f.t, f.desired.AdoptPlacement(gateway.Versioned{Value: text, Revision: revision}, "test"))
}

func (f *fixture) isServing(d manifest.Digest) bool {
	s := f.status.Status()
	return s.Open && s.Digest == d
}

func (f *fixture) awaitServing(d manifest.Digest) {
	f.t.Helper()
	require.Eventually(f.t, func() bool { return f.isServing(d) }, 15*time.Second, 10*time.Millisecond)
}

func (f *fixture) assertOrders() {
	f.t.Helper()
	require.Zero(f.t, f.unverified.Load(), "orders for a version that was not verified")
	require.Zero(f.t, f.overlaps.Load(), "overlapping load orders")
}

func TestVersionIsLoadedOnlyAfterVerification(t *testing.T) {
	f := newFixture(t, standinengine.Options{ChecksOrders: true, LoadMilliseconds: 50}, modelBytes)
	m := f.publish("1", 1)
	f.place(m, 7)
	require.Eventually(t, func() bool { return f.status.Status().Have > 2 }, 10*time.Second, 5*time.Millisecond)
	require.Empty(t, f.receivedOrders())
	require.False(t, f.status.Status().Open)
	f.awaitServing(m.Digest())
	require.Len(t, f.receivedOrders(), 1)
	require.Equal(t, uint64(7), f.receivedOrders()[0].FencingNumber)
	f.place(m, 8)
	time.Sleep(500 * time.Millisecond)
	require.Len(t, f.receivedOrders(), 1, "the same version is not loaded again")
	f.assertOrders()
}

func TestLostOrderAnswerIsResolvedFromEngineState(t *testing.T) {
	for _, checksOrders := range []bool{true, false} {
		f := newFixture(t, standinengine.Options{ChecksOrders: checksOrders, LoadMilliseconds: 300}, 0)
		f.engine.SetFaults(standinengine.Faults{LoseOrderAnswers: true})
		m := f.publish("1", 1)
		f.place(m, 1)
		f.awaitServing(m.Digest())
		require.Len(t, f.receivedOrders(), 1, "an order that took effect is not sent again")
		f.assertOrders()
	}
}

func TestDelayedOrderDoesNotRestorePreviousVersion(t *testing.T) {
	for _, checksOrders := range []bool{true, false} {
		f := newFixture(t, standinengine.Options{ChecksOrders: checksOrders}, 0)
		first, second := f.publish("1", 1), f.publish("2", 2)
		f.engine.SetFaults(standinengine.Faults{DelayOrderMilliseconds: 1500})
		f.place(first, 1)
		require.Eventually(t, func() bool { return len(f.receivedOrders()) == 1 }, 10*time.Second, 5*time.Millisecond)
		f.engine.SetFaults(standinengine.Faults{})
		f.place(second, 2)
		f.awaitServing(second.Digest())
		until := time.Now().Add(3 * time.Second)
		for time.Now().Before(until) {
			s := f.status.Status()
			require.False(t, s.Open && s.Digest != second.Digest(), "status is open for %s", s.Digest)
			time.Sleep(5 * time.Millisecond)
		}
		f.awaitServing(second.Digest())
		require.Zero(t, f.unverified.Load())
	}
}

func TestRestartedEngineReloadsFromLocalChunks(t *testing.T) {
	f := newFixture(t, standinengine.Options{ChecksOrders: true}, 0)
	m := f.publish("1", 1)
	f.place(m, 1)
	f.awaitServing(m.Digest())
	sentBefore := f.swarm.Origin.Sent().Bytes
	f.replaceEngine(standinengine.Options{ChecksOrders: true, LoadMilliseconds: 300})
	require.Eventually(t, func() bool { return !f.status.Status().Open }, 5*time.Second, 5*time.Millisecond)
	f.awaitServing(m.Digest())
	require.Equal(t, sentBefore, f.swarm.Origin.Sent().Bytes)
	f.assertOrders()
}

func TestFailedLoadIsRetried(t *testing.T) {
	f := newFixture(t, standinengine.Options{}, 0)
	f.engine.SetFaults(standinengine.Faults{FailLoads: true})
	m := f.publish("1", 1)
	f.place(m, 1)
	require.Eventually(t, func() bool { return len(f.receivedOrders()) >= 2 }, 10*time.Second, 10*time.Millisecond)
	require.False(t, f.status.Status().Open)
	f.engine.SetFaults(standinengine.Faults{})
	f.awaitServing(m.Digest())
	f.assertOrders()
}

func TestPreviousVersionServesDuringTransferAndAfterRollback(t *testing.T) {
	f := newFixture(t, standinengine.Options{ChecksOrders: true}, modelBytes)
	first, second := f.publish("1", 1), f.publish("2", 2)
	f.place(first, 1)
	f.awaitServing(first.Digest())
	f.place(second, 2, first.Digest())
	require.Eventually(t, func() bool {
		s := f.status.Status()
		return s.Want == second.Digest() && s.Have > 2
	}, 10*time.Second, 5*time.Millisecond)
	require.True(t, f.isServing(first.Digest()))
	sentBefore := f.swarm.Origin.Sent().Bytes
	f.place(first, 3)
	f.awaitServing(first.Digest())
	require.LessOrEqual(t, f.swarm.Origin.Sent().Bytes-sentBefore, int64(4*64<<10), "the previous version is still stored")
	require.Len(t, f.receivedOrders(), 1)
	f.assertOrders()
}

func TestUnplacedInstanceStopsServingAndFreesChunks(t *testing.T) {
	f := newFixture(t, standinengine.Options{}, 0)
	m := f.publish("1", 1)
	f.place(m, 1)
	f.awaitServing(m.Digest())
	f.setPlacement(placement.Placement{}, 2)
	require.Eventually(t, func() bool {
		_, stored := f.agent.Weights.Store.Size()
		return !f.status.Status().Open && stored == 0
	}, 5*time.Second, 10*time.Millisecond)
	f.place(m, 3)
	f.awaitServing(m.Digest())
}

// An engine that ignores fencing numbers executes an order that arrives late. The
// status must not open for that version, although it was verified and served before.
func TestStaleOrderThatTakesEffectIsReverted(t *testing.T) {
	f := newFixture(t, standinengine.Options{}, 0)
	first, second := f.publish("1", 1), f.publish("2", 2)
	f.place(first, 1)
	f.awaitServing(first.Digest())
	f.place(second, 2)
	f.awaitServing(second.Digest())
	stale := engine.LoadModel{
		Digest:        first.Digest(),
		Whole:         first.Whole,
		Source:        f.agent.Settings.Origin + source.WeightsPath("model", "1"),
		FencingNumber: 1,
	}
	_, err := engine.NewClient(f.engineAddress).LoadModel(context.Background(), stale)
	require.NoError(t, err)
	until := time.Now().Add(2 * time.Second)
	for time.Now().Before(until) {
		s := f.status.Status()
		require.False(t, s.Open && s.Digest != second.Digest(), "status is open for %s", s.Digest)
		time.Sleep(2 * time.Millisecond)
	}
	f.awaitServing(second.Digest())
}
