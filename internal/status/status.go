// Package status serves over HTTP how far each class is from its target, as known to
// one gateway. The operators' command line prints it.
package status

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"almondreel.example/almondreel/internal/desired"
	"almondreel.example/almondreel/internal/gateway"
	"almondreel.example/almondreel/internal/manifest"
	"almondreel.example/almondreel/internal/membership"
	"almondreel.example/almondreel/internal/operator"
	"almondreel.example/almondreel/internal/placement"
)

// Path is the URL path at which a gateway serves Status as JSON.
const Path = "/v1/status"

// settledAfter is the time after a gateway's start from which it is assumed to have
// received a heartbeat from every live instance.
const settledAfter = 15 * time.Second

// Status is the answer to GET Path.
type Status struct {
	At            time.Time
	Settled       bool   // the gateway has run long enough to have heard from every instance
	Configuration uint64 // revision of the configuration in force at the gateway
	Placement     uint64 // revision of the placement in force at the gateway
	PlannedFrom   uint64 // revision of the configuration that the placement was planned from
	Planner       string // gateway that wrote the placement
	Classes       []Class
	Services      []Service
	Members       []Member
}

// Class is a class's progress towards its target.
type Class struct {
	Name            string
	Kind            operator.Kind
	Service         string
	Priority        int
	Target          operator.Target
	Version         string          // placed version; differs from the target's until that is planned
	Digest          manifest.Digest `json:",omitempty"`
	Placed          int             // instances placed for the class
	Serving         int             // instances that serve the placed version
	ServingPrevious int             // instances that still serve an older version
	WaitingToLoad   int             // placed instances that may not load the placed version yet
	ChunksHave      int             // verified chunks of the placed version, over all instances that fetch it
	ChunksWanted    int             // chunks that those instances need in total
	ProjectedFinish time.Time       `json:",omitzero"`  // estimated time at which Target.Replicas serve; zero: unknown or finished
	Problem         string          `json:",omitempty"` // why the target cannot be reached yet; empty: no known reason
}

// Service is a service and the number of its instances.
type Service struct {
	Name      string
	Kind      string
	Instances int // excluding leaving and dead ones
}

// Member is the gateway's membership entry of an instance.
type Member struct {
	Name       string
	Region     string
	DataCentre string
	Service    string
	State      string
	Dead       bool `json:",omitempty"`
	Digest     manifest.Digest
	HeardAt    time.Time // when any source of the membership table last saw the instance
}

type handler struct {
	desired   *desired.State
	table     *membership.Table
	startedAt time.Time
	projector *projector
}

// Handler returns the handler for Path.
func Handler(d *desired.State, t *membership.Table) http.Handler {
	return &handler{desired: d, table: t, startedAt: time.Now(), projector: newProjector()}
}

// ServeHTTP answers GET with Status as JSON.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet {
		w.WriteHeader(http.StatusMethodNotAllowed)
		return
	}
	now := time.Now()
	s, _ := h.desired.Current()
	answer := describe(s, h.table.EntriesAt(now), now)
	answer.Settled = now.Sub(h.startedAt) >= settledAfter
	for i, c := range answer.Classes {
		answer.Classes[i].ProjectedFinish = h.projector.projectFinish(c, now)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
}

func describe(s desired.Snapshot, entries []membership.Entry, now time.Time) Status {
	answer := Status{
		At:            now.UTC(),
		Configuration: s.Configuration.Revision,
		Placement:     s.Placement.Revision,
		PlannedFrom:   s.Placement.PlannedFrom,
		Planner:       s.Placement.Holder,
		Services:      services(entries),
		Members:       members(entries),
	}
	byName := map[string]membership.Entry{}
	for _, e := range entries {
		byName[e.Member.Name] = e
	}
	for _, c := range s.Configuration.Classes {
		assignment, _ := s.Placement.Assignment(c.Name)
		answer.Classes = append(answer.Classes, describeClass(c, assignment, byName))
	}
	return answer
}

func describeClass(c operator.Class, a placement.Assignment, byName map[string]membership.Entry) Class {
	out := Class{
		Name:          c.Name,
		Kind:          c.Kind,
		Service:       c.Service,
		Priority:      c.Priority,
		Target:        c.Target,
		Version:       a.Version,
		Digest:        a.Digest,
		Placed:        len(a.Instances),
		WaitingToLoad: len(a.Waiting),
	}
	for _, name := range slices.Concat(a.Instances, a.Retiring) {
		e, ok := byName[name]
		if !ok || e.State != membership.Live {
			continue
		}
		out.addMember(a, e.Member)
	}
	out.Problem = problem(c, a)
	return out
}

func (c *Class) addMember(a placement.Assignment, m gateway.Member) {
	switch {
	case m.Digest == a.Digest:
		c.Serving++
	case a.MayServe(m.Name, m.Digest):
		c.ServingPrevious++
	}
	if a.Digest != "" && m.Want == a.Digest {
		c.ChunksHave += m.Have
		c.ChunksWanted += m.Chunks
	}
}

func problem(c operator.Class, a placement.Assignment) string {
	t := c.Target
	switch {
	case c.Kind == operator.Model && t.Model == "":
		return "no model yet: set one with almondreel class set"
	case a.Version != t.Version || a.Model != t.Model:
		return "version is not planned yet, or the origin does not have it"
	case len(a.Instances) < t.Replicas:
		return "too few instances of the service for the target"
	}
	return ""
}

func services(entries []membership.Entry) []Service {
	var out []Service
	for _, e := range entries {
		if e.Dead || e.State == membership.Leaving {
			continue
		}
		i := slices.IndexFunc(out, func(s Service) bool { return s.Name == e.Member.Service && s.Kind == e.Member.Kind })
		if i < 0 {
			out = append(out, Service{Name: e.Member.Service, Kind: e.Member.Kind})
			i = len(out) - 1
		}
		out[i].Instances++
	}
	return out
}

func members(entries []membership.Entry) []Member {
	out := make([]Member, 0, len(entries))
	for _, e := range entries {
		m := e.Member
		out = append(out, Member{m.Name, m.Region, m.DataCentre, m.Service, e.State, e.Dead, m.Digest, e.LastSeen.UTC()})
	}
	return out
}
