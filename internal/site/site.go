// Package site holds what a hosting platform tells the programs: the operators'
// configuration, the backend servers that it lists, and the model versions that
// are to serve.
package site

import "strings"

// Kind says what may be repeated of a route's requests.
type Kind int

// Kinds of route.
const (
	Idempotent Kind = iota // may run more than once
	Once                   // runs at most once for each attempt of a caller
	Stream                 // answers with events; runs at most once unless Resumable
)

// Target is a service that a route sends to.
type Target struct {
	Service string
	Weight  int // relative to the route's other targets, above 0
}

// Route says where requests go. Times are in milliseconds.
type Route struct {
	Name                string
	Host                string
	Prefix              string // begins and ends with a slash
	Kind                Kind
	Targets             []Target
	TimeoutMilliseconds int // 0: none
	TargetMilliseconds  int // until the answer, or a stream's first event
	Priority            int // 0 goes first
	MaxAttempts         int // backend servers that may run one attempt
	Public              bool
	Resumable           bool
	Generates           bool // requests carry a prompt for a model
}

// Repeatable reports whether a request may run more than once.
func (r Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Service is a group of backend servers.
type Service struct {
	Name   string
	Engine Engine
	Origin Origin
}

// Engine describes a service's model engines; Slots is 0 for a plain service.
type Engine struct {
	Slots              int // requests in one batch
	Model              string
	Layers             int
	Pieces             int     // pieces of a version's weights
	PieceBytes         int     // bytes of a piece
	WarmUpMilliseconds float64 // loading of all layers
	ReadPerMillisecond float64 // prompt tokens
}

// Origin is where weights come from; Address is empty for other services.
type Origin struct {
	Address string
}

// Organisation is a customer and its credentials.
type Organisation struct {
	Name     string
	Keys     []string
	Priority int
	Ranked   bool // Priority was given
}

// Limits bound what callers may send.
type Limits struct {
	BodyBytes int64
}

// Configuration is one version of the operators' configuration. Read-only.
type Configuration struct {
	Version       int64
	Routes        []Route
	Services      map[string]Service
	Limits        Limits
	Organisations []Organisation
	hosts         map[string][]int
	keys          map[string]int
}

// Index prepares the look-ups. Call it once, before the configuration is shared.
func (c *Configuration) Index() {
	c.hosts, c.keys = map[string][]int{}, map[string]int{}
	for i, r := range c.Routes {
		c.hosts[r.Host] = append(c.hosts[r.Host], i)
	}
	for i, o := range c.Organisations {
		for _, k := range o.Keys {
			c.keys[k] = i
		}
	}
}

// Route returns the host's route with the longest prefix that begins path.
func (c *Configuration) Route(host, path string) (Route, bool) {
	best := -1
	for _, i := range c.hosts[host] {
		prefix := c.Routes[i].Prefix
		if strings.HasPrefix(path, prefix) && (best < 0 || len(prefix) > len(c.Routes[best].Prefix)) {
			best = i
		}
	}
	if best < 0 {
		return Route{}, false
	}
	return c.Routes[best], true
}

// Holder returns the organisation that holds a credential.
func (c *Configuration) Holder(key string) (Organisation, bool) {
	i, ok := c.keys[key]
	if !ok {
		return Organisation{}, false
	}
	return c.Organisations[i], true
}

// Movable reports whether every answer of a service may go on at another server.
func (c *Configuration) Movable(service string) bool {
	for _, r := range c.Routes {
		if r.Repeatable() {
			continue
		}
		for _, t := range r.Targets {
			if t.Service == service {
				return false
			}
		}
	}
	return true
}

// Origin returns the service that weights come from.
func (c *Configuration) Origin() Origin {
	for _, s := range c.Services {
		if s.Origin.Address != "" {
			return s.Origin
		}
	}
	return Origin{}
}

// EngineOf returns the service of engines that run a model.
func (c *Configuration) EngineOf(model string) (Service, bool) {
	for _, s := range c.Services {
		if s.Engine.Slots > 0 && s.Engine.Model == model {
			return s, true
		}
	}
	return Service{}, false
}

// Server is a backend server as the platform lists it.
type Server struct {
	ID         string
	Service    string
	Address    string // IP:port
	DataCentre string
	Slots      int
	Draining   bool
	State      State // of an engine
}

// Version is a model version that operators have named.
type Version struct {
	Model  string
	Number int64
}

// Holding is what an engine serves.
type Holding struct {
	Model   string
	Version int64 // 0: nothing
	Whole   bool  // every layer is loaded, all of one version
}

// State is what an engine reports of itself.
type State struct {
	Born    int64 // Unix milliseconds of its start
	Model   string
	Version int64
	Loaded  Range
	Loading bool // an order is in progress
	Orders  int64
	Queued  int
	Running int
	Pace    float64 // above 1: slow
}

// Range is a run of layers of one version.
type Range struct {
	From, To int // To is not included
	Version  int64
}

// Holding returns what serves when the model has that many layers.
func (s State) Holding(layers int) Holding {
	r := s.Loaded
	return Holding{Model: s.Model, Version: r.Version, Whole: layers > 0 && r.From <= 0 && r.To >= layers}
}
