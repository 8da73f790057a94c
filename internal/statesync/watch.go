package statesync

import (
	"context"
	"time"

	"almondreel.example/almondreel/internal/counter"
	"almondreel.example/almondreel/internal/event"
	"almondreel.example/almondreel/internal/gateway"
	"almondreel.example/almondreel/internal/kv"
	"almondreel.example/almondreel/internal/operator"
	"almondreel.example/almondreel/internal/pause"
	"almondreel.example/almondreel/internal/rendezvous"
)

const (
	// watchersPerDataCentre is the number of gateways in each data centre that watch a
	// key of the key-value service.
	watchersPerDataCentre = 2
	watchWait             = 25 * time.Second
	pollInterval          = 30 * time.Second
	minRetry              = 500 * time.Millisecond
	maxRetry              = 20 * time.Second
)

// watchKey adopts newer values of key until ctx ends. A watcher uses a long poll;
// any other gateway polls about every pollInterval.
func (s *Syncer) watchKey(ctx context.Context, key string) {
	retry := minRetry
	down := false
	read := uint64(0) // a document that cannot be decoded does not become current
	for ctx.Err() == nil {
		watching := s.isWatcher(key, time.Now())
		request := kv.Watch{Key: key, After: max(s.currentRevision(key), read)}
		if watching && request.After > 0 {
			request.WaitMilliseconds = int(watchWait.Milliseconds())
		}
		e, newer, err := s.kv.Watch(ctx, request)
		if err != nil {
			s.logDown(ctx, &down, err)
			pause.For(ctx, pause.Jitter(retry)) // jitter keeps gateways from retrying all at once when an outage ends
			retry = min(2*retry, maxRetry)
			continue
		}
		s.logUp(&down)
		retry = minRetry
		s.adopt(e, newer)
		read = max(read, e.Revision)
		s.pauseBetweenWatches(ctx, key, watching)
	}
}

func (s *Syncer) pauseBetweenWatches(ctx context.Context, key string, watching bool) {
	switch {
	case s.currentRevision(key) == 0:
		pause.For(ctx, pause.Jitter(time.Second))
	case !watching:
		pause.For(ctx, pause.Jitter(pollInterval))
	}
}

func (s *Syncer) adopt(e kv.Entry, newer bool) {
	if !newer {
		return
	}
	if err := s.desired.AdoptStored(e.Key, e.Value, e.Revision); err != nil {
		counter.Add("DocumentUndecodable", 1)
		event.Fail(event.DocumentUndecodable, err, "Key", e.Key, "Revision", e.Revision)
	}
}

func (s *Syncer) logDown(ctx context.Context, down *bool, err error) {
	if ctx.Err() == nil && !*down {
		event.Fail(event.KeyValueDown, err)
		*down = true
	}
}

func (s *Syncer) logUp(down *bool) {
	if *down {
		event.Log(event.KeyValueUp)
		*down = false
	}
}

func (s *Syncer) currentRevision(key string) uint64 {
	snapshot, _ := s.desired.Current()
	if key == operator.ConfigurationKey {
		return snapshot.EncodedConfiguration.Revision
	}
	return snapshot.EncodedPlacement.Revision
}

// isWatcher reports whether this gateway is one of the watchers of key in its data centre.
func (s *Syncer) isWatcher(key string, now time.Time) bool {
	return rendezvous.InTop(key, s.self.Name, peerNames(s.gatewaysInDataCentre(now)), watchersPerDataCentre)
}

func (s *Syncer) gatewaysInDataCentre(now time.Time) []gateway.Peer {
	out := []gateway.Peer{s.self}
	for _, p := range s.table.LiveGateways(s.self.Name, now) {
		if p.DataCentre == s.self.DataCentre {
			out = append(out, p)
		}
	}
	return out
}

func peerNames(peers []gateway.Peer) []string {
	var out []string
	for _, p := range peers {
		out = append(out, p.Name)
	}
	return out
}
