package hosted

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"almondreel.example/almondreel/internal/bounded"
	"almondreel.example/almondreel/internal/callerconn"
	"almondreel.example/almondreel/internal/callermemory"
	"almondreel.example/almondreel/internal/coldstart"
	"almondreel.example/almondreel/internal/connlimit"
	"almondreel.example/almondreel/internal/control"
	"almondreel.example/almondreel/internal/counter"
	"almondreel.example/almondreel/internal/errs"
	"almondreel.example/almondreel/internal/event"
	"almondreel.example/almondreel/internal/hostedrpc"
	"almondreel.example/almondreel/internal/logsink"
	"almondreel.example/almondreel/internal/pause"
	"almondreel.example/almondreel/internal/proxy"
	"almondreel.example/almondreel/internal/schedule"
	"almondreel.example/almondreel/internal/settings"
	"almondreel.example/almondreel/internal/signals"
	"almondreel.example/almondreel/internal/supervisor"
	"almondreel.example/almondreel/platform"
)

const (
	// headerTimeout and callerIdleTimeout are above what operators' limits allow, so
	// that a caller within those limits is not disconnected.
	headerTimeout     = 20 * time.Second
	callerIdleTimeout = 90 * time.Second
	maxHeaderBytes    = 24 << 10
	// shortResponseTimeout bounds the time to write the response to a probe or a request
	// for metrics.
	shortResponseTimeout = 10 * time.Second
	// extraSlots is the number of requests sent to an engine beyond its slots. They
	// wait at the engine until a slot frees, which hides the network latency.
	extraSlots = 2
	// remotePenalty is added to the load of servers in other regions when servers are
	// compared, as a share of their slots.
	remotePenalty = 0.15
	// settleDelay is the polling interval for the end of answers in progress, and
	// the time for the view to be updated after the mirror changed.
	settleDelay = 30 * time.Millisecond
	// shutdownTimeout lets a request that arrived at the very end be answered.
	shutdownTimeout = 150 * time.Millisecond
)

type gateway struct {
	settings     settings.HostedGateway
	view         *siteView
	servers      *serverTable
	gossip       *gossiper
	handler      *proxy.Handler
	draining     atomic.Bool
	stopTimes    atomic.Pointer[stopTimes] // nil before the drain
	callerServer *http.Server
	connLimiter  *connlimit.Limiter
	callerMemory *callermemory.Account
}

// RunGateway runs a gateway until a signal to stop is received, then drains it. Each
// hangup checks the settings file again. It returns an error if the gateway cannot
// listen.
func RunGateway(s settings.HostedGateway, file string, received *signals.Signals) error {
	limitMemory(s.Hosting.MemoryMB)
	g := newGateway(s)
	sink := logsink.Start(os.Stdout)
	defer func() { sink.StopBy(earlier(time.Now().Add(logsink.FlushTimeout), g.times().flush)) }()
	tree := supervisor.NewTree(s.Name)
	if err := g.addListeners(tree); err != nil {
		return err
	}
	tree.Add("store", g.view.followStore)
	tree.Add("roster", g.servers.run)
	tree.Add("neighbours", g.gossip.run)
	tree.Add("pools", g.servers.pools.Run)
	tree.Add("crashes", g.handler.CrashDetector.Run)
	tree.Add("settings", reload(file, received.Hangups()))
	return supervisor.Main(string(settings.ProgramGateway), received, tree, g.drain)
}

func newGateway(s settings.HostedGateway) *gateway {
	coldStart := coldstart.Options{Overage: s.ColdStart.Overage, Tolerance: s.ColdStart.Tolerance}
	pools := proxy.NewPools(schedule.Options{Region: s.Region, ExtraSlots: extraSlots, RemotePenalty: remotePenalty, ExactShares: s.Scheduling.ExactShares, Estimates: s.Scheduling.Estimates, ColdStart: coldStart})
	crashes := proxy.NewCrashDetector()
	g := &gateway{settings: s, connLimiter: connlimit.NewWithin(s.Files, s.MaxCallerConnections()), callerMemory: callermemory.New(s.CallerMemoryBytes()), view: newSiteView(platform.NewStore(s.Hosting.Store), s.Hosting.VersionMS)}
	g.servers = newServerTable(g.view, s.Hosting, pools)
	g.servers.limitsCold = coldStart.Enabled()
	g.servers.evacuateMS = s.EvacuateMS
	own := hostedrpc.Gateway{Name: s.Name, Address: s.NeighbourListen, Region: s.Region}
	g.gossip = newGossiper(g.servers, own, s.Hosting.Gateways, crashes)
	g.view.storeRole = g.gossip.storeRole
	retries := proxy.RetryBudget{Ratio: s.Retries.Share, Base: s.Retries.Besides, WindowMS: int(s.Retries.SpanSeconds * 1000), Gateways: g.gossip.peakGateways}
	g.handler = proxy.NewHandler(proxy.Options{View: g.servers, HeaderCodec: platform.HeaderCodec{}, Pools: pools, CrashDetector: crashes, RetryBudget: retries, Admission: g.connLimiter, CallerMemory: g.callerMemory, ResponseMemory: bounded.NewMemoryBudget(s.ResponseMemoryBytes())})
	return g
}

// addListeners opens the listeners and adds the tasks that serve them to tree.
func (g *gateway) addListeners(tree *supervisor.Tree) error {
	rpcHandler, err := control.Handle(map[string]any{hostedrpc.ServiceName: receiver{g.gossip}})
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle(control.Path, rpcHandler)
	mux.Handle("GET /metrics", counter.Handler())
	g.callerServer = newServer(http.HandlerFunc(g.serveCaller))
	g.callerServer.ConnState = callerconn.Hook(g.connLimiter.Track)
	g.callerServer.ConnContext = callerconn.Context
	probes, calls := connlimit.NewProbes(), connlimit.NewControl(g.settings.Files)
	probeServer, controlServer := newServer(callerconn.WithoutBodies(http.HandlerFunc(g.ready), shortResponseTimeout)), newServer(callerconn.WithoutBodies(mux, shortResponseTimeout))
	probeServer.ConnState, controlServer.ConnState = callerconn.Hook(probes.Track), callerconn.Hook(calls.Track)
	for _, l := range []struct {
		name, address string
		server        *http.Server
		limiter       *connlimit.Limiter // nil for callers: the server's hook tracks all of their connections
	}{
		{"callers", g.settings.CallerListen, g.callerServer, nil},
		{"readiness", g.settings.ReadyListen, probeServer, probes},
		{"rpc", g.settings.NeighbourListen, controlServer, calls},
	} {
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			return errs.Wrap(err, "listen for "+l.name, l.address)
		}
		if l.limiter == nil {
			listener = callerconn.Listener{Listener: listener, Memory: g.callerMemory}
		} else {
			listener = connlimit.Listener{Listener: callerconn.Listener{Listener: listener}, Limiter: l.limiter}
		}
		tree.Add(l.name, supervisor.Serve(listener, l.server, g.shutdown))
	}
	return nil
}

func newServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdleTimeout, MaxHeaderBytes: maxHeaderBytes}
}

// shutdown stops a server whose requests have been drained. A request accepted just
// before is still answered.
func shutdown(ctx context.Context, s *http.Server) {
	ctx, cancel := context.WithTimeout(ctx, shutdownTimeout)
	defer cancel()
	if s.Shutdown(ctx) != nil {
		_ = s.Close() // only connections without requests are left
	}
}

// shutdown is shutdown within the time that the gateway's stop has for it.
func (g *gateway) shutdown(ctx context.Context, s *http.Server) {
	if until := g.times().close; !until.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, until)
		defer cancel()
	}
	shutdown(ctx, s)
}

// times returns the times of the gateway's stop; zero before it has begun.
func (g *gateway) times() stopTimes {
	if times := g.stopTimes.Load(); times != nil {
		return *times
	}
	return stopTimes{}
}

// serveCaller handles a caller's request. Callers of a draining gateway are told to send
// the next one elsewhere.
func (g *gateway) serveCaller(w http.ResponseWriter, r *http.Request) {
	if g.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	g.handler.ServeHTTP(w, r)
}

// ready answers the platform's readiness probe.
func (g *gateway) ready(w http.ResponseWriter, _ *http.Request) {
	if g.draining.Load() || g.view.Configuration() == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// drain fails the readiness probe, serves new requests that can be answered within the
// grace period until the platform stops sending them, and waits until all answers are
// written. Requests that are still in progress near its end get a final answer.
func (g *gateway) drain(ctx context.Context) {
	began := time.Now()
	times := newStopTimes(began, time.Duration(g.settings.GraceSeconds*float64(time.Second)))
	g.stopTimes.Store(&times)
	g.draining.Store(true)
	g.gossip.setLeaving()
	g.handler.EndBy(times.answer)
	event.Log(event.DrainStarted, "Running", g.handler.Running())
	pause.For(ctx, time.Until(times.accept))
	g.handler.Drain()
	// This closes idle connections, also one from which a request has just been read. So
	// it must not be done while requests are accepted.
	g.callerServer.SetKeepAlivesEnabled(false)
	cut := int64(0)
	if !g.waitForAnswers(ctx, times.answer) {
		cut = g.handler.Running()
		g.handler.End()
		g.waitForAnswers(ctx, times.write)
	}
	event.Log(event.DrainEnded, "Cut", cut, "Running", g.handler.Running(), "Active", g.connLimiter.Active(), "MS", time.Since(began).Milliseconds())
}

// waitForAnswers waits until all answers are written, at the latest until a time, and
// reports whether they are. The end of an answer may still be written after its handler
// has returned.
func (g *gateway) waitForAnswers(ctx context.Context, until time.Time) bool {
	for g.connLimiter.Active() > 0 {
		if !time.Now().Before(until) {
			return false
		}
		pause.For(ctx, min(settleDelay, time.Until(until)))
	}
	return true
}

// earlier returns the earlier one of two times. A zero limit is none.
func earlier(at, limit time.Time) time.Time {
	if limit.IsZero() || at.Before(limit) {
		return at
	}
	return limit
}
