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
	"almondreel.example/almondreel/internal/control"
	"almondreel.example/almondreel/internal/counter"
	"almondreel.example/almondreel/internal/duty"
	"almondreel.example/almondreel/internal/errs"
	"almondreel.example/almondreel/internal/event"
	"almondreel.example/almondreel/internal/exchange"
	"almondreel.example/almondreel/internal/logsink"
	"almondreel.example/almondreel/internal/neighbour"
	"almondreel.example/almondreel/internal/pause"
	"almondreel.example/almondreel/internal/rank"
	"almondreel.example/almondreel/internal/redial"
	"almondreel.example/almondreel/internal/reel"
	"almondreel.example/almondreel/internal/settings"
	"almondreel.example/almondreel/platform"
)

const (
	// urgentTime and calmTime separate an agent's words to a gateway while it
	// brings a version and otherwise; gateways take its word for agentTime.
	urgentTime = 70 * time.Millisecond
	calmTime   = 250 * time.Millisecond
	// syncAnswer bounds a gateway's answer.
	syncAnswer = 400 * time.Millisecond
	// connectTime bounds a connection to a gateway: one that has no power drops
	// what it is sent, and may be back a moment later.
	connectTime = 150 * time.Millisecond
	// askAgain and askAgainMost are the pauses before gateways are asked again when
	// none answered: the pause doubles, so that all agents together ask for fewer
	// connections than gateways take that have just started.
	askAgain     = 25 * time.Millisecond
	askAgainMost = 200 * time.Millisecond
	// followTime is how long a gateway holds a question for news.
	followTime = 2 * time.Second
	// fallbackTime is how long no gateway answers before the store is asked.
	fallbackTime = 2 * time.Second
	// passOverTime is how long a gateway that did not answer is not the first
	// to be asked: a few of its answers' bounds.
	passOverTime = time.Second
	pieceIdle    = 20 * time.Second
	peerDial     = 400 * time.Millisecond
)

// agent is an agent's part in what the processes tell each other.
type agent struct {
	settings settings.HostedAgent
	reel     *reel.Agent
	store    *platform.Store
	gateways []neighbour.Gateway
	clients  map[string]*control.Client
	answers  atomic.Pointer[control.Client] // of the gateway that answers; nil: none does
	current  string                         // its address
	mark     neighbour.Mark                 // up to which it told of other agents
	known    uint64                         // digest of the gateways that it told
	heardAt  time.Time                      // a gateway answered, or the store was asked
	// passedOver holds until when gateways that did not answer come last.
	passedOver map[string]time.Time
}

// RunAgent runs an agent until SIGINT or SIGTERM.
func RunAgent(s settings.HostedAgent, file string, hangups <-chan os.Signal) error {
	defer logsink.Start(os.Stdout)()
	limitMemory(s.Hosting.MemoryMB)
	a := &agent{settings: s, store: platform.NewStore(s.Hosting.Store), clients: map[string]*control.Client{}, passedOver: map[string]time.Time{}}
	a.reel = reel.NewAgent(reel.Options{
		Name: s.Name, Address: s.PieceListen, Region: s.Region, Service: s.Backend.Service,
		EngineAddress: s.Backend.Address, VersionMS: s.Hosting.VersionMS, LinkMegabits: s.LinkMegabits,
		Engine: platform.NewEngine(s.Backend.Address), Origin: platform.NewOrigin(),
		Peers: reel.NewPeers(newPeerClient()),
	})
	listener, err := net.Listen("tcp", s.PieceListen)
	if err != nil {
		return errs.Wrap(err, "listen for agents", s.PieceListen)
	}
	mux := http.NewServeMux()
	mux.Handle("/", a.reel.Handler())
	mux.Handle("GET /metrics", counter.Handler())
	server := newServer(mux)
	server.IdleTimeout = pieceIdle
	tree := duty.NewTree(s.Name)
	tree.Add("pieces", duty.Serve(listener, server, cut))
	tree.Add("weights", a.reel.Run)
	tree.Add("gateways", func(ctx context.Context) error {
		return duty.Together(ctx, func(ctx context.Context) { _ = a.sync(ctx) }, a.follow)
	})
	tree.Add("settings", reload(file, hangups))
	return duty.Main(string(settings.ProgramAgent), tree, nil)
}

func newPeerClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: redial.DialContext(net.Dialer{Timeout: peerDial}), DisableCompression: true,
		MaxIdleConnsPerHost: 2, IdleConnTimeout: pieceIdle / 2, MaxResponseHeaderBytes: bounded.MaxHeadBytes,
	}}
}

// sync tells a gateway the agent's state and hears what it lacks, until ctx ends.
func (a *agent) sync(ctx context.Context) error {
	for _, g := range a.settings.Hosting.Gateways {
		a.gateways = append(a.gateways, neighbour.Gateway{Address: g})
	}
	a.heardAt = time.Now()
	alone := askAgain
	for ctx.Err() == nil {
		if !a.tell(ctx) && time.Since(a.heardAt) > fallbackTime {
			a.readStore(ctx)
		}
		every := calmTime
		switch {
		case a.current == "":
			every = pause.Jitter(alone)
			alone = min(2*alone, askAgainMost)
		case a.reel.Urgent():
			every = urgentTime
		}
		if a.current != "" {
			alone = askAgain
		}
		pause.For(ctx, every)
	}
	return ctx.Err()
}

// tell speaks to one gateway: the one that answered last, or one of its own
// region instead. If there is none or it fails, some are asked at once.
func (a *agent) tell(ctx context.Context) bool {
	if a.current != "" && a.adopt(ctx, a.ask(ctx, a.ranked()[0].Address)) {
		return true
	}
	return ctx.Err() == nil && a.adopt(ctx, a.askSome(ctx))
}

// answer is what a gateway said, or the error why it did not.
type answer struct {
	address string
	reply   neighbour.SyncReply
	err     error
}

// knows reports whether the gateway has heard from the store since its start.
func (r answer) knows() bool { return r.err == nil && r.reply.Wanted.Revision > 0 }

// askedAtOnce is the number of gateways that an agent without one asks at once: one
// that lost its power would hold up those behind it for the whole of syncAnswer,
// and all agents ask when all processes start.
const askedAtOnce = 3

// askSome asks the gateways that rank first. It returns the first answer of one
// that knows what is wanted, or any answer. Those that did not answer come last
// next time.
func (a *agent) askSome(ctx context.Context) answer {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	list := a.ranked()
	list = list[:min(len(list), askedAtOnce)]
	answers := make(chan answer, len(list))
	request := a.request()
	for _, g := range list {
		client := a.client(g.Address)
		go func() { answers <- askOne(ctx, client, g.Address, request) }()
	}
	best := answer{err: errNoGateway}
	for range list {
		r := <-answers
		if r.knows() {
			return r
		}
		if r.err != nil {
			a.passOver(r.address)
		}
		if best.err != nil {
			best = r
		}
	}
	return best
}

func (a *agent) passOver(address string) { a.passedOver[address] = time.Now().Add(passOverTime) }

var errNoGateway = errors.New("no gateway is known")

// ranked returns the gateways in the order in which they are asked: those of the
// own region first, ranked alike by all its agents, so that what these say of
// their pieces meets in one place and is a word old; the others by lot.
func (a *agent) ranked() []neighbour.Gateway {
	out := slices.Clone(a.gateways)
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	var near []string
	for _, g := range out {
		if g.Region == a.settings.Region {
			near = append(near, g.Address)
		}
	}
	place := map[string]int{}
	for n, address := range rank.First(a.settings.Region, near, len(near)) {
		place[address] = n
	}
	slices.SortStableFunc(out, func(x, y neighbour.Gateway) int {
		return cmp.Or(cmp.Compare(a.group(x), a.group(y)), cmp.Compare(place[x.Address], place[y.Address]))
	})
	return out
}

// group is lower for gateways that are asked before others.
func (a *agent) group(g neighbour.Gateway) int {
	near := g.Region == a.settings.Region
	switch passed := time.Now().Before(a.passedOver[g.Address]); {
	case passed && near:
		return 3
	case passed:
		return 4
	case near:
		return 0
	case g.Address == a.current:
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

func (a *agent) ask(ctx context.Context, address string) answer {
	return askOne(ctx, a.client(address), address, a.request())
}

func (a *agent) request() neighbour.SyncRequest {
	return neighbour.SyncRequest{Agent: a.reel.Say(), Mark: a.mark, Gateways: a.known}
}

// askOne asks a gateway. One that takes the connection is alive and is given
// longer than the connection: asking it anew would only add to what slows it.
func askOne(ctx context.Context, client *control.Client, address string, request neighbour.SyncRequest) answer {
	r := answer{address: address}
	if r.err = client.Connect(ctx, connectTime); r.err != nil {
		return r
	}
	ctx, cancel := context.WithTimeout(ctx, syncAnswer)
	defer cancel()
	r.err = client.Call(ctx, neighbour.MethodSync, request, &r.reply)
	return r
}

// adopt takes a gateway's answer; false if it did not answer.
func (a *agent) adopt(ctx context.Context, r answer) bool {
	if r.err != nil {
		a.passOver(r.address)
		if a.current != "" && a.current == r.address && ctx.Err() == nil {
			event.Fail(event.NeighbourDown, r.err, "Address", r.address)
			a.current = ""
			a.answers.Store(nil)
		}
		return false
	}
	a.answers.Store(a.client(r.address))
	if a.current != r.address {
		event.Log(event.NeighbourUp, "Address", r.address)
	}
	a.current, a.heardAt, a.mark = r.address, time.Now(), r.reply.Mark
	a.reel.Adopt(r.reply.Wanted, r.reply.Named)
	a.reel.Meet(r.reply.Others)
	if r.reply.Gateways != nil {
		a.learn(r.reply.Gateways)
	}
	return true
}

// follow waits at the gateway that answers for news of the store, so that a
// version is brought as soon as it is named.
func (a *agent) follow(ctx context.Context) {
	for ctx.Err() == nil {
		client := a.answers.Load()
		if client == nil {
			pause.For(ctx, calmTime)
			continue
		}
		if err := a.followOne(ctx, client); err != nil {
			pause.For(ctx, calmTime) // sync notices and says so
		}
	}
}

func (a *agent) followOne(ctx context.Context, client *control.Client) error {
	ctx, cancel := context.WithTimeout(ctx, followTime+syncAnswer)
	defer cancel()
	request := neighbour.FollowRequest{Service: a.settings.Backend.Service, Known: a.reel.Wanted(), WaitMilliseconds: followTime.Milliseconds()}
	var reply neighbour.FollowReply
	if err := client.Call(ctx, neighbour.MethodFollow, request, &reply); err != nil {
		return err
	}
	a.reel.Adopt(reply.Wanted, reply.Named)
	return nil
}

// learn takes the gateways that are alive; those of the settings stay known.
func (a *agent) learn(list []neighbour.Gateway) {
	a.known = exchange.Digest(list)
	next := slices.Clone(list)
	for _, s := range a.settings.Hosting.Gateways {
		if !slices.ContainsFunc(next, func(g neighbour.Gateway) bool { return g.Address == s }) {
			next = append(next, neighbour.Gateway{Address: s})
		}
	}
	a.gateways = next
}

// readStore asks the store itself, since no gateway answers.
func (a *agent) readStore(ctx context.Context) {
	a.heardAt = time.Now()
	known := newKnowledge(a.store, a.settings.Hosting.VersionMS)
	if err := known.reload(ctx); err != nil {
		event.Fail(event.StoreDown, err)
		return
	}
	a.reel.Adopt(known.wanted(a.settings.Backend.Service), nil)
}
