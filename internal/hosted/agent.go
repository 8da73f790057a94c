// Package hosted runs the gateway and agent programs on a hosting platform:
// gateways dispatch callers' requests to backend servers, and agents keep one
// model engine supplied with weights. Both learn the configuration and the server
// list from the platform's metadata store, mostly by way of other gateways.
package hosted

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"sync/atomic"
	"time"

	"almondreel.example/almondreel/internal/bounded"
	"almondreel.example/almondreel/internal/callerconn"
	"almondreel.example/almondreel/internal/connlimit"
	"almondreel.example/almondreel/internal/control"
	"almondreel.example/almondreel/internal/counter"
	"almondreel.example/almondreel/internal/errs"
	"almondreel.example/almondreel/internal/event"
	"almondreel.example/almondreel/internal/gossip"
	"almondreel.example/almondreel/internal/hostedrpc"
	"almondreel.example/almondreel/internal/logsink"
	"almondreel.example/almondreel/internal/pause"
	"almondreel.example/almondreel/internal/redial"
	"almondreel.example/almondreel/internal/rendezvous"
	"almondreel.example/almondreel/internal/settings"
	"almondreel.example/almondreel/internal/signals"
	"almondreel.example/almondreel/internal/supervisor"
	"almondreel.example/almondreel/internal/weightsync"
	"almondreel.example/almondreel/pkg/quarantine"
	"almondreel.example/almondreel/platform"
)

const (
	// urgentSyncInterval is the time between an agent's reports to a gateway while it
	// fetches a version, idleSyncInterval at other times. Gateways use a report for
	// agentReportTTL.
	urgentSyncInterval = 70 * time.Millisecond
	idleSyncInterval   = 250 * time.Millisecond
	// syncTimeout bounds a Sync call once the connection is open.
	syncTimeout = 400 * time.Millisecond
	// connectTimeout bounds connecting to a gateway. A gateway without power drops
	// packets, and may be back a moment later.
	connectTimeout = 150 * time.Millisecond
	// minSyncBackoff and maxSyncBackoff bound the backoff while no gateway answers.
	// It doubles, so that all agents together open fewer connections than gateways
	// that have just started can accept.
	minSyncBackoff = 25 * time.Millisecond
	maxSyncBackoff = 200 * time.Millisecond
	// followWait is how long a gateway may hold a Follow call (long poll).
	followWait = 2 * time.Second
	// storeFallbackAfter is how long no gateway answers before the agent reads the
	// store itself.
	storeFallbackAfter = 2 * time.Second
	// deprioritiseTime is how long a gateway that did not answer is tried after the
	// others: a few times syncTimeout.
	deprioritiseTime = time.Second
	pieceIdleTimeout = 20 * time.Second
	peerDialTimeout  = 400 * time.Millisecond
	// pieceResponseTimeout bounds the time until the first bytes of a piece are written,
	// which waits until others have been sent.
	pieceResponseTimeout = time.Minute
	// pieceConnections is the number of connections of other agents. Each agent has two at
	// most, and asks few others at a time.
	pieceConnections = 128
)

// agent reports an engine's state to a gateway and passes the replies to the component
// that fetches weights.
type agent struct {
	settings       settings.HostedAgent
	weights        *weightsync.Agent
	store          *platform.Store
	gateways       []hostedrpc.Gateway
	clients        map[string]*control.Client
	currentClient  atomic.Pointer[control.Client] // of the gateway that answers; nil if none does
	currentAddress string                         // address of that gateway; empty if none answers
	cursor         hostedrpc.Cursor               // up to which the gateway has sent changes of other agents
	gatewaysDigest uint64                         // digest of the gateway list last received
	// quarantine is what gateways quarantined. A gateway that starts again learns it from
	// the agents.
	quarantine        *quarantine.Table
	gatewayQuarantine uint64    // digest of what the gateway that answers has quarantined
	lastContactAt     time.Time // a gateway answered, or the store was read
	// deprioritisedUntil is, by address, until when a gateway that did not answer
	// is tried after the others.
	deprioritisedUntil map[string]time.Time
}

// RunAgent runs an agent until a signal to stop is received. Each hangup checks the
// settings file again. It returns an error if the agent cannot listen.
func RunAgent(s settings.HostedAgent, file string, received *signals.Signals) error {
	defer logsink.Start(os.Stdout).Stop()
	limitMemory(s.Hosting.MemoryMB)
	a := &agent{settings: s, store: platform.NewStore(s.Hosting.Store), clients: map[string]*control.Client{}, deprioritisedUntil: map[string]time.Time{}, quarantine: quarantine.NewTable()}
	a.weights = weightsync.NewAgent(weightsync.Options{
		Name: s.Name, Address: s.PieceListen, Region: s.Region, Service: s.Backend.Service,
		EngineAddress: s.Backend.Address, RolloutMilliseconds: s.Hosting.VersionMS, LinkMegabits: s.LinkMegabits,
		Engine: platform.NewEngine(s.Backend.Address), Origin: platform.NewOrigin(),
		Peers: weightsync.NewPeerClient(newPeerTransport()),
	})
	listener, err := net.Listen("tcp", s.PieceListen)
	if err != nil {
		return errs.Wrap(err, "listen for agents", s.PieceListen)
	}
	mux := http.NewServeMux()
	mux.Handle("/", a.weights.Handler())
	mux.Handle("GET /metrics", counter.Handler())
	server := newServer(callerconn.WithoutBodies(mux, pieceResponseTimeout))
	server.IdleTimeout = pieceIdleTimeout
	limiter := connlimit.NewFixed(pieceConnections, pieceConnections)
	server.ConnState = callerconn.Hook(limiter.Track)
	listener = callerconn.Listener{Listener: listener}
	tree := supervisor.NewTree(s.Name)
	tree.Add("pieces", supervisor.Serve(listener, server, shutdown))
	tree.Add("weights", a.weights.Run)
	tree.Add("gateways", func(ctx context.Context) error {
		return supervisor.RunAll(ctx, func(ctx context.Context) { _ = a.syncLoop(ctx) }, a.followLoop)
	})
	tree.Add("settings", reload(file, received.Hangups()))
	return supervisor.Main(string(settings.ProgramAgent), received, tree, nil)
}

func newPeerTransport() *http.Transport {
	return &http.Transport{
		DialContext: redial.DialContext(net.Dialer{Timeout: peerDialTimeout}), DisableCompression: true,
		MaxIdleConnsPerHost: 2, IdleConnTimeout: pieceIdleTimeout / 2, MaxResponseHeaderBytes: bounded.MaxHeaderBytes,
	}
}

// syncLoop reports the agent's state to a gateway and applies the replies until ctx
// ends.
func (a *agent) syncLoop(ctx context.Context) error {
	for _, g := range a.settings.Hosting.Gateways {
		a.gateways = append(a.gateways, hostedrpc.Gateway{Address: g})
	}
	a.lastContactAt = time.Now()
	backoff := minSyncBackoff
	for ctx.Err() == nil {
		if !a.syncOnce(ctx) && time.Since(a.lastContactAt) > storeFallbackAfter {
			a.readStore(ctx)
		}
		wait := idleSyncInterval
		switch {
		case a.currentAddress == "":
			wait = pause.Jitter(backoff)
			backoff = min(2*backoff, maxSyncBackoff)
		case a.weights.Transitioning():
			wait = urgentSyncInterval
		}
		if a.currentAddress != "" {
			backoff = minSyncBackoff
		}
		pause.For(ctx, wait)
	}
	return ctx.Err()
}

// syncOnce syncs with the first gateway in order: one of the agent's own region, or
// else the one that answered last. If no gateway answered last time or the call
// fails, it tries several in parallel. It reports whether a gateway answered.
func (a *agent) syncOnce(ctx context.Context) bool {
	if a.currentAddress != "" && a.applyReply(ctx, a.syncWith(ctx, a.orderedGateways()[0].Address)) {
		return true
	}
	return ctx.Err() == nil && a.applyReply(ctx, a.syncAny(ctx))
}

// syncResult is a gateway's reply to Sync, or the error of the call.
type syncResult struct {
	address string
	report  hostedrpc.Agent // that was sent
	reply   hostedrpc.SyncReply
	err     error
}

// hasStoreData reports whether the gateway has read the store since its start.
func (r syncResult) hasStoreData() bool { return r.err == nil && r.reply.Wanted.Revision > 0 }

// parallelSyncs is the number of gateways that an agent without a gateway calls in
// parallel. Called one by one, a gateway without power would delay the following calls
// by the whole syncTimeout. All agents call when all processes start.
const parallelSyncs = 3

// syncAny calls the first gateways in order in parallel. It returns the first reply
// with store data, else any reply, else an error. Gateways that did not answer are
// deprioritised.
func (a *agent) syncAny(ctx context.Context) syncResult {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	gateways := a.orderedGateways()
	gateways = gateways[:min(len(gateways), parallelSyncs)]
	results := make(chan syncResult, len(gateways))
	request := a.syncRequest()
	for _, g := range gateways {
		client := a.client(g.Address)
		go func() { results <- callSync(ctx, client, g.Address, request) }()
	}
	best := syncResult{err: errNoGateway}
	for range gateways {
		r := <-results
		if r.hasStoreData() {
			return r
		}
		if r.err != nil {
			a.deprioritise(r.address)
		}
		if best.err != nil {
			best = r
		}
	}
	return best
}

func (a *agent) deprioritise(address string) {
	a.deprioritisedUntil[address] = time.Now().Add(deprioritiseTime)
}

var errNoGateway = errors.New("no gateway is known")

// orderedGateways returns the gateways in the order in which they are tried. Those
// of the agent's own region come first, in rendezvous-hashing order, so that all
// agents of a region report their pieces to the same gateway and see each other's
// pieces one report later. The others are shuffled.
func (a *agent) orderedGateways() []hostedrpc.Gateway {
	out := slices.Clone(a.gateways)
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	var local []string
	for _, g := range out {
		if g.Region == a.settings.Region {
			local = append(local, g.Address)
		}
	}
	position := map[string]int{}
	for n, address := range rendezvous.Top(a.settings.Region, local, len(local)) {
		position[address] = n
	}
	slices.SortStableFunc(out, func(x, y hostedrpc.Gateway) int {
		return cmp.Or(cmp.Compare(a.orderGroup(x), a.orderGroup(y)), cmp.Compare(position[x.Address], position[y.Address]))
	})
	return out
}

// orderGroup returns the primary sort key of a gateway; lower is tried first.
func (a *agent) orderGroup(g hostedrpc.Gateway) int {
	local := g.Region == a.settings.Region
	switch deprioritised := time.Now().Before(a.deprioritisedUntil[g.Address]); {
	case deprioritised && local:
		return 3
	case deprioritised:
		return 4
	case local:
		return 0
	case g.Address == a.currentAddress:
		return 1
	}
	return 2
}

func (a *agent) client(address string) *control.Client {
	client, ok := a.clients[address]
	if !ok {
		client = control.NewClient(address)
		a.clients[address] = client
	}
	return client
}

func (a *agent) syncWith(ctx context.Context, address string) syncResult {
	return callSync(ctx, a.client(address), address, a.syncRequest())
}

func (a *agent) syncRequest() hostedrpc.SyncRequest {
	convictions := convictionsOf(a.quarantine, time.Now())
	request := hostedrpc.SyncRequest{Agent: a.weights.State(), Mark: a.cursor, Gateways: a.gatewaysDigest, Quarantine: digestOf(convictions)}
	if request.Quarantine != a.gatewayQuarantine {
		request.Convictions = convictions
	}
	return request
}

// callSync calls Sync on a gateway. A gateway that accepts the connection is alive
// and gets the longer syncTimeout, because a retry would only add to its load.
func callSync(ctx context.Context, client *control.Client, address string, request hostedrpc.SyncRequest) syncResult {
	r := syncResult{address: address, report: request.Agent}
	if r.err = client.Connect(ctx, connectTimeout); r.err != nil {
		return r
	}
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	r.err = client.Call(ctx, hostedrpc.MethodSync, request, &r.reply)
	return r
}

// applyReply applies a gateway's reply. It returns false if the call failed.
func (a *agent) applyReply(ctx context.Context, r syncResult) bool {
	if r.err != nil {
		a.deprioritise(r.address)
		if a.currentAddress != "" && a.currentAddress == r.address && ctx.Err() == nil {
			event.Fail(event.GatewayDown, r.err, "Address", r.address)
			a.currentAddress = ""
			a.currentClient.Store(nil)
			a.gatewayQuarantine = 0
		}
		return false
	}
	a.currentClient.Store(a.client(r.address))
	if a.currentAddress != r.address {
		event.Log(event.GatewayUp, "Address", r.address)
	}
	a.currentAddress, a.lastContactAt, a.cursor = r.address, time.Now(), r.reply.Mark
	a.weights.Reported(r.report)
	a.weights.SetUnverified(r.reply.Unverified)
	a.weights.SetWanted(r.reply.Wanted, r.reply.Named)
	a.weights.UpdateMembers(r.reply.Others)
	a.gatewayQuarantine = r.reply.Quarantine
	mergeConvictions(a.quarantine, r.reply.Convictions, time.Now())
	if r.reply.Gateways != nil {
		a.setGateways(r.reply.Gateways)
	}
	return true
}

// followLoop long-polls the current gateway for store changes, so that the agent
// starts to fetch a version as soon as operators announce it.
func (a *agent) followLoop(ctx context.Context) {
	for ctx.Err() == nil {
		client := a.currentClient.Load()
		if client == nil {
			pause.For(ctx, idleSyncInterval)
			continue
		}
		if err := a.followOne(ctx, client); err != nil {
			pause.For(ctx, idleSyncInterval) // syncLoop notices the failure and logs it
		}
	}
}

func (a *agent) followOne(ctx context.Context, client *control.Client) error {
	ctx, cancel := context.WithTimeout(ctx, followWait+syncTimeout)
	defer cancel()
	request := hostedrpc.FollowRequest{Service: a.settings.Backend.Service, Known: a.weights.Wanted(), WaitMilliseconds: followWait.Milliseconds()}
	var reply hostedrpc.FollowReply
	if err := client.Call(ctx, hostedrpc.MethodFollow, request, &reply); err != nil {
		return err
	}
	a.weights.SetWanted(reply.Wanted, reply.Named)
	return nil
}

// setGateways replaces the list of gateways by list, the gateways that are alive, and
// those of the settings.
func (a *agent) setGateways(list []hostedrpc.Gateway) {
	a.gatewaysDigest = gossip.Digest(list)
	gateways := slices.Clone(list)
	for _, s := range a.settings.Hosting.Gateways {
		if !slices.ContainsFunc(gateways, func(g hostedrpc.Gateway) bool { return g.Address == s }) {
			gateways = append(gateways, hostedrpc.Gateway{Address: s})
		}
	}
	a.gateways = gateways
}

// readStore reads the store directly, for when no gateway answers.
func (a *agent) readStore(ctx context.Context) {
	a.lastContactAt = time.Now()
	view := newSiteView(a.store, a.settings.Hosting.VersionMS)
	if err := view.reload(ctx); err != nil {
		event.Fail(event.StoreDown, err)
		return
	}
	a.weights.SetWanted(view.wanted(a.settings.Backend.Service), nil)
}
