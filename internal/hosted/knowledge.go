// Package hosted assembles the programs for a hosting platform.
package hosted

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"

	"almondreel.example/almondreel/internal/belief"
	"almondreel.example/almondreel/internal/event"
	"almondreel.example/almondreel/internal/naming"
	"almondreel.example/almondreel/internal/neighbour"
	"almondreel.example/almondreel/internal/pause"
	"almondreel.example/almondreel/internal/site"
	"almondreel.example/almondreel/platform"
)

const (
	// watchTime is how long a watch waits: a silent connection is found after
	// that and one answer's time.
	watchTime = 2 * time.Second
	// trustTime is how long a process that does not follow the store itself goes
	// by what others say that do.
	trustTime = 800 * time.Millisecond
	// batchTime separates watches, so that changes which come together take one
	// call: each is priced. spareBatchTime is that of a follower that only stands in
	// for the first one.
	batchTime      = 100 * time.Millisecond
	spareBatchTime = 400 * time.Millisecond
	// retryPause separates calls to a store that does not answer; every call
	// is priced, refused ones too.
	retryPause = 250 * time.Millisecond
	// returnTime is how long after the store's return the entries of servers
	// may be missing that lapsed meanwhile.
	returnTime = 2 * time.Second
	// lapseTime is how long such a server is used after its entry was seen to
	// go: less than the two seconds in which servers that leave must be left,
	// by the time that the news takes.
	lapseTime = 1700 * time.Millisecond
	// freshTime is the age from which a view may lack what the store holds: a
	// watch, one answer's time and a margin.
	freshTime = watchTime + time.Second + 500*time.Millisecond
)

// watchPrefix covers what operators and backend servers write.
const watchPrefix = ""

// knowledge is what a process knows of the site. It is safe for concurrent use.
type knowledge struct {
	store   *platform.Store
	beliefs *belief.Beliefs

	mu            sync.Mutex
	configuration *site.Configuration
	versions      map[string]site.Version // by model
	named         *naming.Ages
	servers       map[string]site.Server // by ID
	lapsed        map[string]lapse       // whose entries went while the store was away
	bootedAt      time.Time
	down          bool
	downAt        time.Time // the last call that the store did not answer
	returnedAt    time.Time // the store's last return
	confirmedAt   time.Time // when the beliefs were last known to be current
	changed       chan struct{}
	leads         func() role // what this process has to follow of the store for all
}

// role is a process's part in following the store for all.
type role int

const (
	bystander     role = iota // others follow it
	spareFollower             // it stands in for the first
	firstFollower
)

// lapse is a server whose entry may come back until a moment.
type lapse struct {
	server site.Server
	until  time.Time
}

func newKnowledge(store *platform.Store, versionMS int) *knowledge {
	return &knowledge{
		store: store, beliefs: belief.New(), bootedAt: time.Now(),
		versions: map[string]site.Version{}, named: naming.NewAges(versionMS),
		servers: map[string]site.Server{}, lapsed: map[string]lapse{},
		changed: make(chan struct{}, 1), leads: func() role { return firstFollower },
	}
}

// watch follows the store until ctx ends.
func (k *knowledge) watch(ctx context.Context) error {
	for ctx.Err() == nil {
		part := k.leads()
		if part == bystander && time.Since(k.confirmed()) < trustTime {
			pause.For(ctx, trustTime/4)
			continue
		}
		if err := k.follow(ctx); err != nil && ctx.Err() == nil {
			k.setDown(err)
			pause.For(ctx, pause.Jitter(retryPause))
		}
		if part == spareFollower {
			pause.For(ctx, spareBatchTime)
		} else {
			pause.For(ctx, batchTime)
		}
	}
	return ctx.Err()
}

// follow makes one call to the store.
func (k *knowledge) follow(ctx context.Context) error {
	if k.beliefs.Revision() == 0 {
		return k.reload(ctx)
	}
	changes, err := k.store.Watch(ctx, watchPrefix, k.beliefs.Revision(), time.Now().Add(watchTime))
	if errors.Is(err, belief.ErrForgotten) {
		event.Log(event.HistoryForgotten, "Revision", k.beliefs.Revision())
		return k.reload(ctx)
	}
	if err != nil {
		return err
	}
	k.setUp()
	k.take(k.beliefs.Apply(changes), "store")
	return nil
}

func (k *knowledge) reload(ctx context.Context) error {
	snapshot, err := k.store.List(ctx, watchPrefix)
	if err != nil {
		return err
	}
	k.setUp()
	k.take(k.beliefs.Replace(snapshot), "store")
	return nil
}

func (k *knowledge) setDown(err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.downAt = time.Now()
	if !k.down {
		k.down = true
		event.Fail(event.StoreDown, err)
	}
}

func (k *knowledge) setUp() {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	k.confirmedAt = now
	if k.down {
		k.down = false
		k.returnedAt = now
		event.Log(event.StoreUp, "Revision", k.beliefs.Revision())
	}
}

// confirm notes that another process, whose beliefs were current at a moment,
// believes the same. Then the store answered after it last failed to answer this
// process, which may not call it again for long.
func (k *knowledge) confirm(at time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if at.After(k.confirmedAt) {
		k.confirmedAt = at
	}
	if k.down && at.After(k.downAt) {
		k.down = false
		k.returnedAt = time.Now()
		event.Log(event.StoreUp, "Revision", k.beliefs.Revision(), "From", "neighbour")
	}
}

// confirmed returns when the beliefs were last known to be current.
func (k *knowledge) confirmed() time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.confirmedAt
}

// take brings the view up to items that are new.
func (k *knowledge) take(news []belief.Item, from string) {
	if len(news) == 0 {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, i := range k.beliefs.Newest(news) {
		switch {
		case platform.IsConfiguration(i.Key):
			k.takeConfiguration(i, from)
		case platform.IsVersion(i.Key):
			k.takeVersion(i, from)
		case platform.IsServer(i.Key):
			k.takeServer(i)
		}
	}
	k.announce()
}

func (k *knowledge) announce() {
	select {
	case k.changed <- struct{}{}:
	default:
	}
}

func (k *knowledge) takeConfiguration(i belief.Item, from string) {
	if i.Deleted {
		return
	}
	c, err := platform.Configuration(i.Value)
	if err != nil {
		event.Fail(event.EntryUnreadable, err, "Key", i.Key, "Revision", i.Revision)
		return
	}
	if k.configuration != nil && c.Version < k.configuration.Version {
		event.Log(event.ConfigurationOlder, "Version", c.Version, "InForce", k.configuration.Version, "From", from)
		return
	}
	k.configuration = c
	event.Log(event.ConfigurationAdopted, "Version", c.Version, "Revision", i.Revision, "From", from)
}

func (k *knowledge) takeVersion(i belief.Item, from string) {
	if i.Deleted {
		return
	}
	v, err := platform.Version(i.Key, i.Value)
	if err != nil {
		event.Fail(event.EntryUnreadable, err, "Key", i.Key, "Revision", i.Revision)
		return
	}
	if v.Number <= k.versions[v.Model].Number {
		return
	}
	k.versions[v.Model] = v
	seen := naming.Naming{At: time.Now()}
	if k.returnedAt.IsZero() && naming.FoundAtStart(k.bootedAt, seen.At) {
		seen = naming.Naming{At: k.bootedAt, Found: true}
	}
	k.named.Note(v, seen)
	event.Log(event.VersionNamed, "Model", v.Model, "Version", v.Number, "Revision", i.Revision, "From", from)
}

func (k *knowledge) takeServer(i belief.Item) {
	s, err := site.Server{}, error(nil)
	if !i.Deleted {
		s, err = platform.Server(i.Key, i.Value)
	}
	if err != nil {
		event.Fail(event.EntryUnreadable, err, "Key", i.Key, "Revision", i.Revision)
	}
	if !i.Deleted && err == nil {
		k.servers[i.Key] = s
		delete(k.lapsed, i.Key)
		return
	}
	held, ok := k.servers[i.Key]
	delete(k.servers, i.Key)
	if ok && i.Deleted && !held.Draining && k.away(time.Now()) {
		k.lapsed[i.Key] = lapse{held, time.Now().Add(lapseTime)}
	}
}

// away reports whether entries may be missing because the store was away.
func (k *knowledge) away(now time.Time) bool {
	return k.down || now.Sub(k.returnedAt) < returnTime
}

// Configuration returns nil until one is known.
func (k *knowledge) Configuration() *site.Configuration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.configuration
}

// Fresh reports whether the view is recent enough to turn callers away for what
// it lacks.
func (k *knowledge) Fresh(now time.Time) bool {
	return now.Sub(k.confirmed()) < freshTime
}

// listed returns the servers that are listed, and those that may come back.
func (k *knowledge) listed(now time.Time) map[string]site.Server {
	k.mu.Lock()
	defer k.mu.Unlock()
	out := maps.Clone(k.servers)
	for key, l := range k.lapsed {
		if !k.away(now) || now.After(l.until) {
			delete(k.lapsed, key)
			continue
		}
		out[key] = l.server
	}
	return out
}

// wanted returns what is wanted of a service's engines. Revision is 0 while no
// configuration is known.
func (k *knowledge) wanted(service string) neighbour.Wanted {
	revision := k.beliefs.Revision()
	k.mu.Lock()
	defer k.mu.Unlock()
	c := k.configuration
	if c == nil {
		return neighbour.Wanted{}
	}
	w := neighbour.Wanted{Revision: revision, Engine: c.Services[service].Engine, Origin: c.Origin().Address, Movable: c.Movable(service)}
	if w.Engine.Model != "" {
		w.Version = max(1, k.versions[w.Engine.Model].Number)
	}
	return w
}

// age takes what another process knows of the naming of a version.
func (k *knowledge) age(v site.Version, n naming.Naming) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.named.Note(v, n)
}

// ages returns when each version was named.
func (k *knowledge) ages() map[site.Version]naming.Naming {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.named.All()
}

// MinVersion is the oldest version of a model that may serve at a moment.
func (k *knowledge) MinVersion(model string, at time.Time) int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.named.Oldest(model, at)
}

// EndsAt is the moment from which no request may begin on a version of a model.
func (k *knowledge) EndsAt(model string, version int64) (time.Time, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.named.EndsAt(model, version)
}
