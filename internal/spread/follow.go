package spread

import (
	"context"
	"time"

	"almondreel.example/almondreel/internal/counter"
	"almondreel.example/almondreel/internal/event"
	"almondreel.example/almondreel/internal/gateway"
	"almondreel.example/almondreel/internal/kv"
	"almondreel.example/almondreel/internal/operator"
	"almondreel.example/almondreel/internal/pause"
	"almondreel.example/almondreel/internal/rank"
)

const (
	// watchers is the number of gateways of a data centre that wait on the
	// key-value service.
	watchers     = 2
	watchWait    = 25 * time.Second
	pollInterval = 30 * time.Second
	firstRetry   = 500 * time.Millisecond
	maxRetry     = 20 * time.Second
)

// follow adopts newer values of key until ctx ends. A watcher waits for them;
// any other gateway asks once in a while whether there is one.
func (s *Spread) follow(ctx context.Context, key string) {
	retry := firstRetry
	down := false
	for ctx.Err() == nil {
		watching := s.watches(key, time.Now())
		request := kv.Watch{Key: key, After: s.held(key)}
		if watching && request.After > 0 {
			request.WaitMilliseconds = int(watchWait.Milliseconds())
		}
		e, newer, err := s.kv.Watch(ctx, request)
		if err != nil {
			s.logDown(ctx, &down, err)
			pause.For(ctx, pause.Jitter(retry)) // full jitter: an outage's end must not be a stampede
			retry = min(2*retry, maxRetry)
			continue
		}
		s.logUp(&down)
		retry = firstRetry
		s.take(e, newer)
		s.pause(ctx, key, watching)
	}
}

func (s *Spread) pause(ctx context.Context, key string, watching bool) {
	switch {
	case s.held(key) == 0:
		pause.For(ctx, pause.Jitter(time.Second))
	case !watching:
		pause.For(ctx, pause.Jitter(pollInterval))
	}
}

func (s *Spread) take(e kv.Entry, newer bool) {
	if !newer {
		return
	}
	if err := s.desired.AdoptStored(e.Key, e.Value, e.Revision); err != nil {
		counter.Add("DocumentUndecodable", 1)
		event.Fail(event.DocumentUndecodable, err, "Key", e.Key, "Revision", e.Revision)
	}
}

func (s *Spread) logDown(ctx context.Context, down *bool, err error) {
	if ctx.Err() == nil && !*down {
		event.Fail(event.KeyValueDown, err)
		*down = true
	}
}

func (s *Spread) logUp(down *bool) {
	if *down {
		event.Log(event.KeyValueUp)
		*down = false
	}
}

func (s *Spread) held(key string) uint64 {
	snapshot, _ := s.desired.Current()
	if key == operator.ConfigurationKey {
		return snapshot.EncodedConfiguration.Revision
	}
	return snapshot.EncodedPlacement.Revision
}

// watches reports whether this gateway is one of its data centre's watchers of key.
func (s *Spread) watches(key string, now time.Time) bool {
	return rank.Among(key, s.self.Name, names(s.sameDataCentre(now)), watchers)
}

func (s *Spread) sameDataCentre(now time.Time) []gateway.Peer {
	out := []gateway.Peer{s.self}
	for _, p := range s.table.LiveGateways(s.self.Name, now) {
		if p.DataCentre == s.self.DataCentre {
			out = append(out, p)
		}
	}
	return out
}

func names(peers []gateway.Peer) []string {
	var out []string
	for _, p := range peers {
		out = append(out, p.Name)
	}
	return out
}
