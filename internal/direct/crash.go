package direct

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"almondreel.example/almondreel/internal/counter"
	"almondreel.example/almondreel/internal/event"
	"almondreel.example/almondreel/internal/schedule"
	"almondreel.example/almondreel/internal/transmit"
	"almondreel.example/almondreel/pkg/quarantine"
)

const (
	// convictionTime is how long a request that crashes servers is refused.
	convictionTime = time.Minute
	// convictedDelay is told to its caller.
	convictedDelay = 30 * time.Second
	// outageTime and outageDeaths tell an outage, which is no request's doing.
	outageTime   = 1500 * time.Millisecond
	outageDeaths = 3
)

// maxBreaks bounds the broken answers that wait to be looked into.
const maxBreaks = 256

// Crashes finds requests that crash the servers which run them.
type Crashes struct {
	Table  *quarantine.Table
	breaks chan broken
	mu     sync.Mutex
	deaths map[string]time.Time // by server
}

// NewCrashes returns an empty record.
func NewCrashes() *Crashes {
	return &Crashes{Table: quarantine.NewTable(), breaks: make(chan broken, maxBreaks), deaths: map[string]time.Time{}}
}

// Judge returns the verdict on a fingerprint.
func (c *Crashes) Judge(fingerprint string) quarantine.Verdict {
	return c.Table.Judge(fingerprint, time.Now())
}

// Completed clears a fingerprint.
func (c *Crashes) Completed(fingerprint string) {
	if c.Table.Judge(fingerprint, time.Now()) != quarantine.Clear {
		c.Table.Completed(fingerprint)
	}
}

// broken is an answer that broke off.
type broken struct {
	fingerprint string
	server      schedule.Server
	before      quarantine.Verdict
}

// Broken takes an answer that broke off and returns the new verdict on its
// request. A request that is clear so far is looked into beside its way, since
// its caller waits for it to go on.
func (c *Crashes) Broken(fingerprint string, s schedule.Server, before quarantine.Verdict) quarantine.Verdict {
	b := broken{fingerprint, s, before}
	if before == quarantine.Clear {
		select {
		case c.breaks <- b:
		default:
			counter.Add("BreaksOverlooked", 1)
		}
		return before
	}
	return c.look(b)
}

// Run looks into broken answers until ctx ends.
func (c *Crashes) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case b := <-c.breaks:
			c.look(b)
		}
	}
}

// look finds out whether a server died. Only one that refuses connections has.
func (c *Crashes) look(b broken) quarantine.Verdict {
	if !transmit.Down(b.server.Address) {
		return b.before
	}
	counter.Add("BackendsDied", 1)
	event.Log(event.BackendDied, "Server", b.server.ID, "Fingerprint", b.fingerprint)
	if c.outage(b.server.ID) {
		return b.before
	}
	verdict := c.Table.Died(b.fingerprint, b.server.ID, b.before == quarantine.Suspect, time.Now().Add(convictionTime))
	if verdict == quarantine.Convicted {
		event.Log(event.RequestConvicted, "Fingerprint", b.fingerprint, "Server", b.server.ID)
	}
	return verdict
}

// outage notes a death and reports whether several servers died at once.
func (c *Crashes) outage(server string) bool {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deaths[server] = now
	for s, at := range c.deaths {
		if now.Sub(at) > outageTime {
			delete(c.deaths, s)
		}
	}
	return len(c.deaths) >= outageDeaths
}

// fingerprint names a request whichever gateway and attempt it comes by.
func (e *exchange) fingerprint() string {
	h := xxhash.New()
	for _, part := range []string{e.organisation, e.r.Method, e.r.Host, e.r.RequestURI} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(e.body)
	return strconv.FormatUint(h.Sum64(), 16)
}
