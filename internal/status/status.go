// Package status tells how far each class is from its target, as one gateway sees it.
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

// Path is where a gateway serves Status.
const Path = "/v1/status"

// settledAfter is the time after its start in which a gateway may not yet have
// heard of every instance.
const settledAfter = 15 * time.Second

// Status is the answer of Path.
type Status struct {
	At            time.Time
	Settled       bool // the gateway has been up long enough to know every instance
	Configuration uint64
	Placement     uint64
	PlannedFrom   uint64 // revision of the configuration that the placement follows
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
	Version         string          // version that is placed; the target's once it is planned
	Digest          manifest.Digest `json:",omitempty"`
	Placed          int             // instances that the class has
	Serving         int             // of those, the ones that answer with the placed version
	ServingPrevious int             // instances that still answer with an older version
	WaitingToLoad   int             // instances that keep answering until it is their turn
	ChunksHave      int             // verified chunks on all placed instances
	ChunksWanted    int             // chunks that they need in all, as far as known
	ProjectedFinish time.Time       `json:",omitzero"` // when all are expected to serve; zero: not known
	Problem         string          `json:",omitempty"`
}

// Service counts the backend servers of a service.
type Service struct {
	Name      string
	Kind      string
	Instances int // neither leaving nor dead
}

// Member is an instance as the gateway sees it.
type Member struct {
	Name       string
	Region     string
	DataCentre string
	Service    string
	State      string
	Dead       bool `json:",omitempty"`
	Digest     manifest.Digest
	HeardAt    time.Time
}

type handler struct {
	desired   *desired.State
	table     *membership.Table
	startedAt time.Time
	projector *projector
}

// Handler serves Path.
func Handler(d *desired.State, t *membership.Table) http.Handler {
	return &handler{desired: d, table: t, startedAt: time.Now(), projector: newProjector()}
}

// ServeHTTP answers Status as JSON.
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
		answer.Classes[i].ProjectedFinish = h.projector.finish(c, now)
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
		assignment, _ := s.Placement.Of(c.Name)
		answer.Classes = append(answer.Classes, describeClass(c, assignment, byName))
	}
	return answer
}

func describeClass(c operator.Class, a placement.Assignment, members map[string]membership.Entry) Class {
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
		e, ok := members[name]
		if !ok || e.State != membership.Live {
			continue
		}
		out.count(a, e.Member)
	}
	out.Problem = problem(c, a)
	return out
}

func (c *Class) count(a placement.Assignment, m gateway.Member) {
	switch {
	case m.Digest == a.Digest:
		c.Serving++
	case a.Answers(m.Name, m.Digest):
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
		out = append(out, Member{m.Name, m.Region, m.DataCentre, m.Service, e.State, e.Dead, m.Digest, e.HeardAt.UTC()})
	}
	return out
}
