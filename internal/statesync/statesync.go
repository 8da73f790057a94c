// Package statesync distributes the configuration, the placement and the membership
// among gateways, and both documents from gateways to agents.
//
// In each data centre a few gateways, chosen by rendezvous hashing, watch the
// key-value service for newer documents. The other gateways get them by gossip: each
// gateway exchanges state with a few others every second. Agents get them in the
// replies to their heartbeats. In addition, every gateway polls the key-value service
// at long, jittered intervals.
package statesync

import (
	"context"
	"sync"
	"time"

	"almondreel.example/almondreel/internal/control"
	"almondreel.example/almondreel/internal/desired"
	"almondreel.example/almondreel/internal/gateway"
	"almondreel.example/almondreel/internal/instances"
	"almondreel.example/almondreel/internal/kv"
	"almondreel.example/almondreel/internal/membership"
	"almondreel.example/almondreel/internal/operator"
	"almondreel.example/almondreel/internal/pause"
	"almondreel.example/almondreel/internal/placement"
	"almondreel.example/almondreel/internal/settings"
	"almondreel.example/almondreel/internal/supervisor"
)

// Syncer exchanges state with other gateways and with agents. Its methods Exchange and
// Heartbeat are called over net/rpc.
type Syncer struct {
	self             gateway.Peer
	runID            int64
	desired          *desired.State
	table            *membership.Table
	kv               *kv.Client
	instanceList     *instances.Client
	listQuarantined  func() []gateway.QuarantineEntry
	mergeQuarantined func([]gateway.QuarantineEntry)

	mu           sync.Mutex
	clients      map[string]*control.Client // by address
	cursors      map[string]cursor          // by name of the other gateway
	pullRequests chan gateway.Peer          // gateways that have newer documents
}

// cursor is the position up to which the membership changes of another gateway were
// received. Sequence numbers are only comparable within one run of that gateway.
type cursor struct {
	runID    int64
	sequence uint64
}

// New returns the syncer of the gateway that s describes. listQuarantined returns the
// quarantined fingerprints to send to other gateways, and mergeQuarantined is called
// with those that other gateways send; both may be nil.
func New(s settings.Gateway, d *desired.State, t *membership.Table, k *kv.Client,
	listQuarantined func() []gateway.QuarantineEntry, mergeQuarantined func([]gateway.QuarantineEntry)) *Syncer {
	return &Syncer{
		self:             gateway.Peer{Name: s.Name, Region: s.Region, DataCentre: s.DataCentre, Address: s.Address()},
		runID:            time.Now().UnixNano(),
		desired:          d,
		table:            t,
		kv:               k.WithPurpose("Spread"),
		instanceList:     instances.NewClient(s.Instances),
		listQuarantined:  listQuarantined,
		mergeQuarantined: mergeQuarantined,
		clients:          map[string]*control.Client{},
		cursors:          map[string]cursor{},
		pullRequests:     make(chan gateway.Peer, 1),
	}
}

// Run synchronises until ctx ends and returns the error of ctx.
func (s *Syncer) Run(ctx context.Context) error {
	err := supervisor.RunAll(ctx,
		s.runExchanges,
		s.runSweeps,
		s.pollInstanceList,
		func(ctx context.Context) { s.watchKey(ctx, operator.ConfigurationKey) },
		func(ctx context.Context) { s.watchKey(ctx, placement.Key) },
	)
	s.closeClients()
	return err
}

func (s *Syncer) runSweeps(ctx context.Context) {
	for pause.For(ctx, time.Second) {
		s.table.Sweep(time.Now())
	}
}

// pollInstanceList reads the platform's list of instances at an interval that grows
// with the size of the list. Gateways also report to each other which instances
// their lists show as leaving, so that all of them learn of it within seconds even
// if the list is long.
func (s *Syncer) pollInstanceList(ctx context.Context) {
	retry := listRetry
	for {
		list, err := s.instanceList.List(ctx)
		wait := pause.Jitter(listInterval(list.Bytes))
		if err != nil || len(list.Instances) == 0 {
			wait = pause.Jitter(retry)
			retry = min(2*retry, maxListInterval)
		} else {
			retry = listRetry
			s.table.RecordListing(list, time.Now())
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

// listInterval returns the mean interval between reads of a list of the given size,
// so that each gateway reads about listBytesPerSecond.
func listInterval(bytes int) time.Duration {
	d := time.Duration(bytes) * time.Second / listBytesPerSecond
	return min(max(d, minListInterval), maxListInterval)
}
