package hosted

import (
	"context"
	"errors"
	"maps"
	"strings"
	"sync"
	"time"

	"almondreel.example/almondreel/internal/bounded"
	"almondreel.example/almondreel/internal/event"
	"almondreel.example/almondreel/internal/hostedrpc"
	"almondreel.example/almondreel/internal/mirror"
	"almondreel.example/almondreel/internal/pause"
	"almondreel.example/almondreel/internal/rollout"
	"almondreel.example/almondreel/internal/site"
	"almondreel.example/almondreel/platform"
)

const (
	// watchWait is how long a watch waits for a change. A connection that went silent
	// is detected after watchWait plus the time of one answer.
	watchWait = 2 * time.Second
	// confirmationMaxAge is how long a process that does not follow the store relies on
	// the last confirmation by one that does.
	confirmationMaxAge = 800 * time.Millisecond
	// watchInterval is the pause between watches, so that changes close together take
	// one call; the platform charges for each. standbyWatchInterval applies to the
	// standby follower.
	watchInterval        = 100 * time.Millisecond
	standbyWatchInterval = 400 * time.Millisecond
	// storeRetryInterval is the pause between calls to a store that does not answer.
	// The platform charges for every call, refused ones too.
	storeRetryInterval = 250 * time.Millisecond
	// missingEntriesWindow is how long after the store answers again entries may be
	// missing that expired while it was down.
	missingEntriesWindow = 2 * time.Second
	// expiredServerGrace is how long a server is still used after its entry expired
	// because the store was down. Gateways must stop using a departed server within two
	// seconds; the difference covers the time until the deletion reaches this process.
	expiredServerGrace = 1700 * time.Millisecond
	// freshMaxAge is the age from which the view may be out of date: one watch, the
	// time of one answer and a margin.
	freshMaxAge = watchWait + time.Second + 500*time.Millisecond
)

// watchPrefix covers the keys that operators and backend servers write.
const watchPrefix = ""

// siteView is a process's view of the site, decoded from the mirror of the store. It
// is safe for concurrent use.
type siteView struct {
	store  *platform.Store
	mirror *mirror.Mirror

	mu              sync.Mutex
	configuration   *site.Configuration
	versions        map[string]site.Version // by model
	rollouts        *rollout.Tracker
	servers         map[string]site.Server   // by store key
	expired         map[string]expiredServer // by store key; entries expired while the store was down
	startedAt       time.Time
	storeDown       bool
	storeFailedAt   time.Time       // the last call that failed
	storeReturnedAt time.Time       // the store last answered again after a failure
	confirmedAt     time.Time       // when the mirror was last known to be current
	evacuated       map[string]bool // data centres
	changed         chan struct{}
	cold            coldDeadlines
	implausible     map[string]string   // fields with implausible values, as last logged, by store key
	storeRole       func() followerRole // this process's role in following the store
}

// followerRole is a process's role in following the store on behalf of all.
type followerRole int

const (
	nonFollower     followerRole = iota // others follow the store
	standbyFollower                     // replaces the primary follower if that fails
	primaryFollower
)

// expiredServer is a server whose entry expired. It is used until the time until, since
// the entry may come back.
type expiredServer struct {
	server site.Server
	until  time.Time
}

func newSiteView(store *platform.Store, versionMS int) *siteView {
	return &siteView{
		store: store, mirror: mirror.New(), startedAt: time.Now(),
		versions: map[string]site.Version{}, rollouts: rollout.NewTracker(versionMS),
		servers: map[string]site.Server{}, expired: map[string]expiredServer{}, evacuated: map[string]bool{},
		cold: coldDeadlines{}, implausible: map[string]string{},
		changed: make(chan struct{}, 1), storeRole: func() followerRole { return primaryFollower },
	}
}

// followStore keeps the mirror up to date until ctx ends, by its own watches or, for a
// non-follower, only when no other process has confirmed the mirror lately.
func (sv *siteView) followStore(ctx context.Context) error {
	for ctx.Err() == nil {
		role := sv.storeRole()
		if role == nonFollower && time.Since(sv.lastConfirmed()) < confirmationMaxAge {
			pause.For(ctx, confirmationMaxAge/4)
			continue
		}
		if err := sv.poll(ctx); err != nil && ctx.Err() == nil {
			sv.noteStoreFailure(err)
			pause.For(ctx, pause.Jitter(storeRetryInterval))
		}
		if role == standbyFollower {
			pause.For(ctx, standbyWatchInterval)
		} else {
			pause.For(ctx, watchInterval)
		}
	}
	return ctx.Err()
}

// poll makes one call to the store: a watch, or a full listing if the mirror is empty,
// the store no longer has the history, or the history is longer than an answer may be.
func (sv *siteView) poll(ctx context.Context) error {
	if sv.mirror.Revision() == 0 {
		return sv.reload(ctx)
	}
	changes, err := sv.store.Watch(ctx, watchPrefix, sv.mirror.Revision(), time.Now().Add(watchWait))
	if errors.Is(err, mirror.ErrCompacted) {
		event.Log(event.StoreCompacted, "Revision", sv.mirror.Revision())
		return sv.reload(ctx)
	}
	if errors.Is(err, bounded.ErrTooLong) {
		return sv.reload(ctx) // which has the last change of each item only
	}
	if err != nil {
		return err
	}
	sv.noteStoreAnswer()
	sv.apply(sv.mirror.Apply(changes), "store")
	return nil
}

func (sv *siteView) reload(ctx context.Context) error {
	snapshot, err := sv.store.List(ctx, watchPrefix)
	if err != nil {
		return err
	}
	sv.noteStoreAnswer()
	sv.apply(sv.mirror.Replace(snapshot), "store")
	return nil
}

func (sv *siteView) noteStoreFailure(err error) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.storeFailedAt = time.Now()
	if !sv.storeDown {
		sv.storeDown = true
		event.Fail(event.StoreDown, err)
	}
}

func (sv *siteView) noteStoreAnswer() {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	now := time.Now()
	sv.confirmedAt = now
	if sv.storeDown {
		sv.storeDown = false
		sv.storeReturnedAt = now
		event.Log(event.StoreUp, "Revision", sv.mirror.Revision())
	}
}

// confirmCurrent notes that the mirror was current at the time at, as confirmed by
// another process with the same revision. If that is after this process's last failed
// call, the store is up again; this process may not call it again for a long time.
func (sv *siteView) confirmCurrent(at time.Time) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	if at.After(sv.confirmedAt) {
		sv.confirmedAt = at
	}
	if sv.storeDown && at.After(sv.storeFailedAt) {
		sv.storeDown = false
		sv.storeReturnedAt = time.Now()
		event.Log(event.StoreUp, "Revision", sv.mirror.Revision(), "From", "neighbour")
	}
}

// lastConfirmed returns when the mirror was last known to be current.
func (sv *siteView) lastConfirmed() time.Time {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return sv.confirmedAt
}

// apply updates the view from changed items. The log gives from as their source.
func (sv *siteView) apply(items []mirror.Item, from string) {
	if len(items) == 0 {
		return
	}
	sv.mu.Lock()
	defer sv.mu.Unlock()
	for _, i := range sv.mirror.Current(items) {
		switch {
		case platform.IsConfiguration(i.Key):
			sv.applyConfiguration(i, from)
		case platform.IsVersion(i.Key):
			sv.applyVersion(i, from)
		case platform.IsServer(i.Key):
			sv.applyServer(i)
		case platform.IsEvacuation(i.Key):
			sv.applyEvacuation(i)
		}
	}
	sv.notify()
}

func (sv *siteView) notify() {
	select {
	case sv.changed <- struct{}{}:
	default:
	}
}

func (sv *siteView) applyConfiguration(i mirror.Item, from string) {
	if i.Deleted {
		return
	}
	c, err := platform.Configuration(i.Value)
	if err != nil {
		event.Fail(event.EntryInvalid, err, "Key", i.Key, "Revision", i.Revision)
		return
	}
	if sv.configuration != nil && c.Version < sv.configuration.Version {
		event.Log(event.ConfigurationOlder, "Version", c.Version, "InForce", sv.configuration.Version, "From", from)
		return
	}
	sv.configuration = c
	sv.logImplausible(i.Key, strings.Join(c.Implausible, " "))
	event.Log(event.ConfigurationAdopted, "Version", c.Version, "Revision", i.Revision, "From", from, "UnknownFigures", c.UnknownFigures())
}

func (sv *siteView) applyVersion(i mirror.Item, from string) {
	if i.Deleted {
		return
	}
	v, err := platform.Version(i.Key, i.Value)
	if err != nil {
		event.Fail(event.EntryInvalid, err, "Key", i.Key, "Revision", i.Revision)
		return
	}
	if v.Number <= sv.versions[v.Model].Number {
		return
	}
	sv.versions[v.Model] = v
	announcement := rollout.Announcement{At: time.Now()}
	if sv.storeReturnedAt.IsZero() && rollout.FoundAtStart(sv.startedAt, announcement.At) {
		announcement = rollout.Announcement{At: sv.startedAt, FoundAtStart: true}
	}
	sv.rollouts.Record(v, announcement)
	event.Log(event.TargetVersionChanged, "Model", v.Model, "Version", v.Number, "Revision", i.Revision, "From", from)
}

func (sv *siteView) applyServer(i mirror.Item) {
	s, err := site.Server{}, error(nil)
	if !i.Deleted {
		s, err = platform.Server(i.Key, i.Value)
	}
	if err != nil {
		event.Fail(event.EntryInvalid, err, "Key", i.Key, "Revision", i.Revision)
	}
	if !i.Deleted && err == nil {
		sv.servers[i.Key] = s
		sv.cold.record(i.Key, s, time.Now())
		sv.logImplausible(i.Key, s.Implausible)
		delete(sv.expired, i.Key)
		return
	}
	previous, ok := sv.servers[i.Key]
	delete(sv.servers, i.Key)
	sv.cold.remove(i.Key)
	sv.logImplausible(i.Key, "")
	if ok && i.Deleted && !previous.Draining && sv.mayLackEntries(time.Now()) {
		sv.expired[i.Key] = expiredServer{previous, time.Now().Add(expiredServerGrace)}
	}
}

// mayLackEntries reports whether entries may be missing because the store was down.
func (sv *siteView) mayLackEntries(now time.Time) bool {
	return sv.storeDown || now.Sub(sv.storeReturnedAt) < missingEntriesWindow
}

// Configuration returns the configuration in force, or nil until one is known.
func (sv *siteView) Configuration() *site.Configuration {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return sv.configuration
}

// Fresh reports whether the view is recent enough to refuse requests for what it
// lacks, such as an unknown credential.
func (sv *siteView) Fresh(now time.Time) bool {
	return now.Sub(sv.lastConfirmed()) < freshMaxAge
}

// listedServers returns the listed servers and the expired ones that are still used, by
// store key.
func (sv *siteView) listedServers(now time.Time) map[string]site.Server {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.cold.prune(now)
	out := maps.Clone(sv.servers)
	for key, e := range sv.expired {
		if !sv.mayLackEntries(now) || now.After(e.until) {
			delete(sv.expired, key)
			continue
		}
		out[key] = e.server
	}
	return out
}

// wanted returns the desired state of a service's engines. Revision is 0 while no
// configuration is known.
func (sv *siteView) wanted(service string) hostedrpc.Wanted {
	revision := sv.mirror.Revision()
	sv.mu.Lock()
	defer sv.mu.Unlock()
	c := sv.configuration
	if c == nil {
		return hostedrpc.Wanted{}
	}
	w := hostedrpc.Wanted{Revision: revision, Engine: c.Services[service].Engine, Origin: c.Origin().Address, Movable: c.ServiceRepeatable(service)}
	if w.Engine.Model != "" {
		w.Version = sv.newestVersion(w.Engine.Model)
	}
	return w
}

// namedVersion returns the version of a model that is to serve.
func (sv *siteView) namedVersion(model string) int64 {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return sv.newestVersion(model)
}

// newestVersion is namedVersion for callers that hold mu. Engines may hold version 1
// before operators announce any.
func (sv *siteView) newestVersion(model string) int64 { return max(1, sv.versions[model].Number) }

// recordAnnouncement records when a version was announced, as another process reports.
func (sv *siteView) recordAnnouncement(v site.Version, announcement rollout.Announcement) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.rollouts.Record(v, announcement)
}

// announcements returns when each version was announced.
func (sv *siteView) announcements() map[site.Version]rollout.Announcement {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return sv.rollouts.All()
}

// MinVersion returns the oldest version of a model that may serve at the time at.
func (sv *siteView) MinVersion(model string, at time.Time) int64 {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return sv.rollouts.OldestAllowed(model, at)
}

// servesUntil returns the time from which no request may begin on a version of a
// model; zero if no newer version was announced.
func (sv *siteView) servesUntil(model string, version int64) time.Time {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	until, _ := sv.rollouts.ServesUntil(model, version)
	return until
}
