// Package spread passes configuration, placement and membership between
// gateways and to agents.
//
// A few gateways a data centre, by rendezvous rank, wait on the key-value
// service for newer documents. The others learn of them in the exchange that
// each gateway holds with a few others every second, and agents in the replies
// to their heartbeats. Slow jittered polls stand behind both.
package spread

import (
	"context"
	"sync"
	"time"

	"almondreel.example/almondreel/internal/control"
	"almondreel.example/almondreel/internal/desired"
	"almondreel.example/almondreel/internal/duty"
	"almondreel.example/almondreel/internal/gateway"
	"almondreel.example/almondreel/internal/instances"
	"almondreel.example/almondreel/internal/kv"
	"almondreel.example/almondreel/internal/membership"
	"almondreel.example/almondreel/internal/operator"
	"almondreel.example/almondreel/internal/pause"
	"almondreel.example/almondreel/internal/placement"
	"almondreel.example/almondreel/internal/settings"
)

// Spread is the receiver of agents' and gateways' calls and the duties behind it.
type Spread struct {
	self        gateway.Peer
	run         int64
	desired     *desired.State
	table       *membership.Table
	kv          *kv.Client
	directory   *instances.Client
	convictions func() []gateway.Conviction
	adopt       func([]gateway.Conviction)

	mu      sync.Mutex
	clients map[string]*control.Client // by address
	views   map[string]view            // of the gateways asked, by name
	pull    chan gateway.Peer          // gateways that have something newer
}

// view is how much of another gateway's view is known.
type view struct {
	run      int64
	sequence uint64
}

// New returns the spread of the gateway that s describes. convictions returns
// the convictions to pass on and adopt takes those of others; both may be nil.
func New(s settings.Gateway, d *desired.State, t *membership.Table, k *kv.Client,
	convictions func() []gateway.Conviction, adopt func([]gateway.Conviction)) *Spread {
	return &Spread{
		self:        gateway.Peer{Name: s.Name, Region: s.Region, DataCentre: s.DataCentre, Address: s.Address()},
		run:         time.Now().UnixNano(),
		desired:     d,
		table:       t,
		kv:          k.For("Spread"),
		directory:   instances.NewClient(s.Instances),
		convictions: convictions,
		adopt:       adopt,
		clients:     map[string]*control.Client{},
		views:       map[string]view{},
		pull:        make(chan gateway.Peer, 1),
	}
}

// Run spreads until ctx ends.
func (s *Spread) Run(ctx context.Context) error {
	err := duty.Together(ctx,
		s.exchangeEverySecond,
		s.sweepEverySecond,
		s.readList,
		func(ctx context.Context) { s.follow(ctx, operator.ConfigurationKey) },
		func(ctx context.Context) { s.follow(ctx, placement.Key) },
	)
	s.closeClients()
	return err
}

func (s *Spread) sweepEverySecond(ctx context.Context) {
	for pause.For(ctx, time.Second) {
		s.table.Sweep(time.Now())
	}
}

// readList reads the platform's list as often as its size allows. Each gateway
// tells the others which instances it lists as leaving, so that together they
// know within seconds also when the list is long.
func (s *Spread) readList(ctx context.Context) {
	retry := listRetry
	for {
		l, err := s.directory.List(ctx)
		wait := pause.Jitter(listInterval(l.Bytes))
		if err != nil || len(l.Instances) == 0 {
			wait = pause.Jitter(retry)
			retry = min(2*retry, maxListInterval)
		} else {
			retry = listRetry
			s.table.List(l, time.Now())
		}
		if !pause.For(ctx, wait) {
			return
		}
	}
}

const (
	listBytesPerSecond = 1000
	minListInterval    = 3 * time.Second
	maxListInterval    = time.Minute
	listRetry          = time.Second
)

func listInterval(bytes int) time.Duration {
	d := time.Duration(bytes) * time.Second / listBytesPerSecond
	return min(max(d, minListInterval), maxListInterval)
}
