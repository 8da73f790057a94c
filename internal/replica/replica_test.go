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
	standin "almondreel.example/almondreel/internal/standin/source"
	"almondreel.example/almondreel/internal/swarm"
)

const modelBytes = 1 << 20

func TestMain(m *testing.M) {
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	os.Exit(m.Run())
}

// bench is one agent with an engine behind a handler that notes its orders.
type bench struct {
	t       *testing.T
	swarm   *swarm.Swarm
	agent   *swarm.Agent
	desired *desired.State
	board   *serving.Board

	engineAddress string

	mu       sync.Mutex
	engine   *standinengine.Server
	orders   []engine.LoadModel
	open     atomic.Int32 // orders without an answer
	overlaps atomic.Int32
	early    atomic.Int32 // orders before the whole was verified
}

func start(t *testing.T, o standinengine.Options, originBytes int64) *bench {
	t.Helper()
	s, err := swarm.Start(swarm.Options{Agents: 1, OriginBytes: originBytes, Link: settings.Link{}})
	require.NoError(t, err)
	t.Cleanup(s.Close)
	b := &bench{t: t, swarm: s, agent: s.Agents()[0], desired: desired.NewState(), board: serving.NewBoard()}
	b.engine = standinengine.New(o)
	server := httptest.NewServer(http.HandlerFunc(b.serve))
	t.Cleanup(server.Close)
	b.engineAddress = strings.TrimPrefix(server.URL, "http://")
	configured := b.agent.Settings
	configured.Backend = settings.Backend{Kind: settings.KindEngine, Address: b.engineAddress}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- replica.New(configured, b.desired, b.board, b.agent.Weights).Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return b
}

func (b *bench) serve(w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	e := b.engine
	b.mu.Unlock()
	if r.URL.Path != engine.LoadModelPath {
		e.ServeHTTP(w, r)
		return
	}
	text, _ := io.ReadAll(r.Body)
	r.Body = io.NopCloser(strings.NewReader(string(text)))
	var order engine.LoadModel
	_ = json.Unmarshal(text, &order)
	b.mu.Lock()
	b.orders = append(b.orders, order)
	b.mu.Unlock()
	if !b.agent.Weights.Store.Verified(order.Digest) {
		b.early.Add(1)
	}
	if b.open.Add(1) > 1 {
		b.overlaps.Add(1)
	}
	defer b.open.Add(-1)
	e.ServeHTTP(w, r)
}

func (b *bench) replaceEngine(o standinengine.Options) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.engine = standinengine.New(o)
}

func (b *bench) ordered() []engine.LoadModel {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]engine.LoadModel(nil), b.orders...)
}

func (b *bench) publish(version string, seed uint64) manifest.Manifest {
	m, err := b.swarm.Origin.Publish("model", version, standin.Version{Bytes: modelBytes, Seed: seed, ChunkBytes: 64 << 10})
	require.NoError(b.t, err)
	return m
}

// place places a version; the previous ones may answer until it serves.
func (b *bench) place(m manifest.Manifest, revision uint64, previous ...manifest.Digest) {
	p := placement.Placement{Assignments: []placement.Assignment{{
		Class: "class", Kind: operator.Model, Model: m.Model, Version: m.Version, Digest: m.Digest(),
		Weighing: operator.Time, Instances: []string{b.agent.Settings.Name}, Previous: previous,
	}}}
	b.adopt(p, revision)
}

func (b *bench) adopt(p placement.Placement, revision uint64) {
	text, err := json.Marshal(p)
	require.NoError(b.t, err)
	require.NoError(b.t, b.desired.AdoptPlacement(gateway.Versioned{Value: text, Revision: revision}, "test"))
}

func (b *bench) serving(d manifest.Digest) bool {
	s := b.board.Status()
	return s.Open && s.Digest == d
}

func (b *bench) awaitServing(d manifest.Digest) {
	b.t.Helper()
	require.Eventually(b.t, func() bool { return b.serving(d) }, 15*time.Second, 10*time.Millisecond)
}

func (b *bench) assertOrders() {
	b.t.Helper()
	require.Zero(b.t, b.early.Load(), "orders before the whole was verified")
	require.Zero(b.t, b.overlaps.Load(), "two orders without an answer")
}

func TestVersionIsOrderedOnlyWhenVerified(t *testing.T) {
	b := start(t, standinengine.Options{ChecksOrders: true, LoadMilliseconds: 50}, modelBytes)
	m := b.publish("1", 1)
	b.place(m, 7)
	require.Eventually(t, func() bool { return b.board.Status().Have > 2 }, 10*time.Second, 5*time.Millisecond)
	require.Empty(t, b.ordered())
	require.False(t, b.board.Status().Open)
	b.awaitServing(m.Digest())
	require.Len(t, b.ordered(), 1)
	require.Equal(t, uint64(7), b.ordered()[0].FencingNumber)
	b.place(m, 8)
	time.Sleep(500 * time.Millisecond)
	require.Len(t, b.ordered(), 1, "the same version is not ordered again")
	b.assertOrders()
}

func TestLostOrderAnswerIsSettledByReading(t *testing.T) {
	for _, checks := range []bool{true, false} {
		b := start(t, standinengine.Options{ChecksOrders: checks, LoadMilliseconds: 300}, 0)
		b.engine.SetFaults(standinengine.Faults{LoseOrderAnswers: true})
		m := b.publish("1", 1)
		b.place(m, 1)
		b.awaitServing(m.Digest())
		require.Len(t, b.ordered(), 1, "an order that took effect is not given again")
		b.assertOrders()
	}
}

func TestLateOrderDoesNotBringBackTheFormerVersion(t *testing.T) {
	for _, checks := range []bool{true, false} {
		b := start(t, standinengine.Options{ChecksOrders: checks}, 0)
		first, second := b.publish("1", 1), b.publish("2", 2)
		b.engine.SetFaults(standinengine.Faults{DelayOrderMilliseconds: 1500})
		b.place(first, 1)
		require.Eventually(t, func() bool { return len(b.ordered()) == 1 }, 10*time.Second, 5*time.Millisecond)
		b.engine.SetFaults(standinengine.Faults{})
		b.place(second, 2)
		b.awaitServing(second.Digest())
		until := time.Now().Add(3 * time.Second)
		for time.Now().Before(until) {
			s := b.board.Status()
			require.False(t, s.Open && s.Digest != second.Digest(), "open for %s", s.Digest)
			time.Sleep(5 * time.Millisecond)
		}
		b.awaitServing(second.Digest())
		require.Zero(t, b.early.Load())
	}
}

func TestRestartedEngineLoadsAgainFromHeldChunks(t *testing.T) {
	b := start(t, standinengine.Options{ChecksOrders: true}, 0)
	m := b.publish("1", 1)
	b.place(m, 1)
	b.awaitServing(m.Digest())
	drawn := b.swarm.Origin.Sent().Bytes
	b.replaceEngine(standinengine.Options{ChecksOrders: true, LoadMilliseconds: 300})
	require.Eventually(t, func() bool { return !b.board.Status().Open }, 5*time.Second, 5*time.Millisecond)
	b.awaitServing(m.Digest())
	require.Equal(t, drawn, b.swarm.Origin.Sent().Bytes)
	b.assertOrders()
}

func TestFailedLoadIsOrderedAgain(t *testing.T) {
	b := start(t, standinengine.Options{}, 0)
	b.engine.SetFaults(standinengine.Faults{FailLoads: true})
	m := b.publish("1", 1)
	b.place(m, 1)
	require.Eventually(t, func() bool { return len(b.ordered()) >= 2 }, 10*time.Second, 10*time.Millisecond)
	require.False(t, b.board.Status().Open)
	b.engine.SetFaults(standinengine.Faults{})
	b.awaitServing(m.Digest())
	b.assertOrders()
}

func TestFormerVersionServesUntilTheNewOneAndReturns(t *testing.T) {
	b := start(t, standinengine.Options{ChecksOrders: true}, modelBytes)
	first, second := b.publish("1", 1), b.publish("2", 2)
	b.place(first, 1)
	b.awaitServing(first.Digest())
	b.place(second, 2, first.Digest())
	require.Eventually(t, func() bool {
		s := b.board.Status()
		return s.Want == second.Digest() && s.Have > 2
	}, 10*time.Second, 5*time.Millisecond)
	require.True(t, b.serving(first.Digest()))
	drawn := b.swarm.Origin.Sent().Bytes
	b.place(first, 3)
	b.awaitServing(first.Digest())
	require.LessOrEqual(t, b.swarm.Origin.Sent().Bytes-drawn, int64(4*64<<10), "the former version is still held")
	require.Len(t, b.ordered(), 1)
	b.assertOrders()
}

func TestRemovedInstanceClosesAndFreesItsChunks(t *testing.T) {
	b := start(t, standinengine.Options{}, 0)
	m := b.publish("1", 1)
	b.place(m, 1)
	b.awaitServing(m.Digest())
	b.adopt(placement.Placement{}, 2)
	require.Eventually(t, func() bool {
		_, held := b.agent.Weights.Store.Held()
		return !b.board.Status().Open && held == 0
	}, 5*time.Second, 10*time.Millisecond)
	b.place(m, 3)
	b.awaitServing(m.Digest())
}

// An engine that ignores fencing numbers takes an order that arrives late. The
// board must not open for it though the version was verified and served before.
func TestLateOrderThatTakesEffectIsUndone(t *testing.T) {
	b := start(t, standinengine.Options{}, 0)
	first, second := b.publish("1", 1), b.publish("2", 2)
	b.place(first, 1)
	b.awaitServing(first.Digest())
	b.place(second, 2)
	b.awaitServing(second.Digest())
	late := engine.LoadModel{
		Digest:        first.Digest(),
		Whole:         first.Whole,
		Source:        b.agent.Settings.Origin + source.WeightsPath("model", "1"),
		FencingNumber: 1,
	}
	_, err := engine.NewClient(b.engineAddress).LoadModel(context.Background(), late)
	require.NoError(t, err)
	until := time.Now().Add(2 * time.Second)
	for time.Now().Before(until) {
		s := b.board.Status()
		require.False(t, s.Open && s.Digest != second.Digest(), "open for %s", s.Digest)
		time.Sleep(2 * time.Millisecond)
	}
	b.awaitServing(second.Digest())
}
