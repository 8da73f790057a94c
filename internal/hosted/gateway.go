package hosted

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"almondreel.example/almondreel/internal/bounded"
	"almondreel.example/almondreel/internal/control"
	"almondreel.example/almondreel/internal/counter"
	"almondreel.example/almondreel/internal/direct"
	"almondreel.example/almondreel/internal/duty"
	"almondreel.example/almondreel/internal/errs"
	"almondreel.example/almondreel/internal/event"
	"almondreel.example/almondreel/internal/intake"
	"almondreel.example/almondreel/internal/logsink"
	"almondreel.example/almondreel/internal/neighbour"
	"almondreel.example/almondreel/internal/pause"
	"almondreel.example/almondreel/internal/schedule"
	"almondreel.example/almondreel/internal/settings"
	"almondreel.example/almondreel/platform"
)

const (
	// headerTimeout and callerIdle are above what operators' limits allow, so
	// that no caller who keeps to them is cut off.
	headerTimeout = 20 * time.Second
	callerIdle    = 90 * time.Second
	headerBytes   = 64 << 10
	// extraSlots hides the way to an engine: the next request waits there
	// while a place comes free.
	extraSlots = 2
	// localPreference is the load, as a share of a server's slots, for which a
	// request leaves its region.
	localPreference = 0.15
	// leaveTime is how long a gateway that ends still takes new requests: the
	// platform asks every second and stops sending after two misses.
	leaveTime = 2800 * time.Millisecond
	// graceMargin is kept of the time until the platform kills the process.
	graceMargin = 300 * time.Millisecond
	settleTime  = 30 * time.Millisecond
	// cutTime is what the answer to a request takes that came at the very end.
	cutTime = 150 * time.Millisecond
)

type gateway struct {
	settings   settings.HostedGateway
	knowledge  *knowledge
	roster     *roster
	neighbours *neighbours
	front      *direct.Front
	leaving    atomic.Bool
	callers    *http.Server
	intake     *intake.Intake
}

// RunGateway runs a gateway until SIGINT or SIGTERM, and drains it then.
func RunGateway(s settings.HostedGateway, file string, hangups <-chan os.Signal) error {
	defer logsink.Start(os.Stdout)()
	limitMemory(s.Hosting.MemoryMB)
	g := newGateway(s)
	tree := duty.NewTree(s.Name)
	if err := g.serve(tree); err != nil {
		return err
	}
	tree.Add("store", g.knowledge.watch)
	tree.Add("roster", g.roster.run)
	tree.Add("neighbours", g.neighbours.run)
	tree.Add("pools", g.roster.pools.Run)
	tree.Add("crashes", g.front.Crashes.Run)
	tree.Add("settings", reload(file, hangups))
	return duty.Main(string(settings.ProgramGateway), tree, g.drain)
}

func newGateway(s settings.HostedGateway) *gateway {
	pools := direct.NewPools(schedule.Options{Region: s.Region, Extra: extraSlots, Local: localPreference})
	crashes := direct.NewCrashes()
	g := &gateway{settings: s, intake: intake.New(s.Files), knowledge: newKnowledge(platform.NewStore(s.Hosting.Store), s.Hosting.VersionMS)}
	g.roster = newRoster(g.knowledge, s.Hosting, pools)
	own := neighbour.Gateway{Name: s.Name, Address: s.NeighbourListen, Region: s.Region}
	g.neighbours = newNeighbours(g.roster, own, s.Hosting.Gateways, crashes.Table)
	g.knowledge.leads = g.neighbours.leads
	retries := direct.Retries{Share: s.Retries.Share, Besides: s.Retries.Besides, SpanMS: int(s.Retries.SpanSeconds * 1000), Gateways: g.neighbours.most}
	g.front = direct.NewFront(direct.Options{View: g.roster, Dialect: platform.Dialect{}, Pools: pools, Crashes: crashes, Retries: retries, Intake: g.intake, Answers: bounded.NewMemory(answersBytes(s.Hosting.MemoryMB))})
	return g
}

// serve adds the duties that listen.
func (g *gateway) serve(tree *duty.Tree) error {
	calls, err := control.Handle(map[string]any{neighbour.Receiver: receiver{g.neighbours}})
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle(control.Path, calls)
	mux.Handle("GET /metrics", counter.Handler())
	g.callers = newServer(g.front)
	g.callers.ConnState = g.intake.Track
	for _, l := range []struct {
		name, address string
		server        *http.Server
	}{
		{"callers", g.settings.CallerListen, g.callers},
		{"readiness", g.settings.ReadyListen, newServer(http.HandlerFunc(g.ready))},
		{"rpc", g.settings.NeighbourListen, newServer(mux)},
	} {
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			return errs.Wrap(err, "listen for "+l.name, l.address)
		}
		tree.Add(l.name, duty.Serve(listener, l.server, cut))
	}
	return nil
}

func newServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdle, MaxHeaderBytes: headerBytes}
}

// cut ends a server whose requests have been drained. One that was accepted a
// moment ago is still answered.
func cut(ctx context.Context, s *http.Server) {
	ctx, cancel := context.WithTimeout(ctx, cutTime)
	defer cancel()
	if s.Shutdown(ctx) != nil {
		_ = s.Close() // what is left holds connections without requests
	}
}

// ready answers the platform's readiness question.
func (g *gateway) ready(w http.ResponseWriter, _ *http.Request) {
	if g.leaving.Load() || g.knowledge.Configuration() == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// drain takes the gateway out of rotation, goes on serving until the platform
// sends no more, and lets requests in progress end.
func (g *gateway) drain(ctx context.Context) {
	began := time.Now()
	g.leaving.Store(true)
	event.Log(event.DrainStarted, "Running", g.front.Running())
	g.callers.SetKeepAlivesEnabled(false)
	pause.For(ctx, leaveTime)
	g.front.Leave()
	until := began.Add(time.Duration(g.settings.GraceSeconds*float64(time.Second)) - graceMargin)
	for g.front.Running() > 0 && time.Now().Before(until) {
		pause.For(ctx, settleTime)
	}
	event.Log(event.DrainEnded, "Running", g.front.Running(), "MS", time.Since(began).Milliseconds())
}
