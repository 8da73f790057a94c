// Package site defines the data that gateways and agents read from a hosting platform:
// the operators' configuration, the listed backend servers with their engines' state,
// and the model versions to serve.
package site

import (
	"strings"

	"almondreel.example/almondreel/internal/enginemodel"
)

// Kind says whether a route's requests may be repeated, and how they are answered.
type Kind int

// Route kinds.
const (
	Idempotent Kind = iota // may run more than once
	AtMostOnce             // runs at most once for each attempt of a caller
	Stream                 // answers with an event stream; runs at most once unless Resumable
)

// Target is a service that a route dispatches to.
type Target struct {
	Service string
	Weight  int // relative to the route's other targets, above 0
}

// Route maps a host and path prefix to services. Times are in milliseconds.
type Route struct {
	Name                string
	Host                string
	Prefix              string // begins and ends with a slash
	Kind                Kind
	Targets             []Target
	TimeoutMilliseconds int // of a request; 0: none
	TargetMilliseconds  int // latency target of the answer, or of a stream's first event
	Priority            int // lower is served first
	MaxAttempts         int // backend servers that may run one attempt of a caller
	Public              bool
	Resumable           bool
	Generates           bool // requests carry a prompt for a model
	// Regions may serve its requests; nil: any region, empty: none.
	Regions []string
}

// Repeatable reports whether a request may run more than once.
func (r Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Service is a group of backend servers.
type Service struct {
	Name      string
	Engine    Engine
	Origin    Origin
	ColdStart ColdStart
}

// ColdStart describes a service's backend servers while they are cold.
type ColdStart struct {
	Milliseconds float64 // duration of a start
	PerSecond    float64 // requests that a cold server accepts from all gateways; 0: any number
}

// Engine describes a service's model engines. Slots is 0 for a service without engines.
type Engine struct {
	Slots              int // requests in one batch
	Model              string
	Layers             int
	Pieces             int     // into which a version's weights are divided
	PieceBytes         int     // size of a piece
	WarmUpMilliseconds float64 // time to load all layers
	ReadPerMillisecond float64 // prompt tokens processed per millisecond
	Figures            enginemodel.Figures
}

// Origin is the server that weights are downloaded from. Address is empty for other
// services.
type Origin struct {
	Address string
}

// Organisation is an organisation whose callers may send requests, and its credentials.
type Organisation struct {
	Name        string
	Keys        []string
	Priority    int
	HasPriority bool // Priority is configured
	// Regions may serve its requests; nil: any region, empty: none.
	Regions []string
}

// Limits bound what callers may send.
type Limits struct {
	BodyBytes int64
}

// Configuration is one version of the operators' configuration. It is read-only once
// indexed.
type Configuration struct {
	Version       int64
	Routes        []Route
	Services      map[string]Service
	Limits        Limits
	Organisations []Organisation
	Implausible   []string // fields whose values are not used as they are
	hosts         map[string][]int
	keys          map[string]int
	restricted    bool // a route or an organisation has Regions
}

// Index builds the look-up tables. It must be called once, before the configuration is
// shared.
func (c *Configuration) Index() {
	c.hosts, c.keys = map[string][]int{}, map[string]int{}
	for i, r := range c.Routes {
		c.hosts[r.Host] = append(c.hosts[r.Host], i)
		c.restricted = c.restricted || r.Regions != nil
	}
	for i, o := range c.Organisations {
		c.restricted = c.restricted || o.Regions != nil
		for _, k := range o.Keys {
			c.keys[k] = i
		}
	}
}

// Route returns the host's route with the longest prefix of path, and false if there is
// none.
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

// OrganisationByKey returns the organisation with a credential, and false if there is
// none.
func (c *Configuration) OrganisationByKey(key string) (Organisation, bool) {
	i, ok := c.keys[key]
	if !ok {
		return Organisation{}, false
	}
	return c.Organisations[i], true
}

// ServiceRepeatable reports whether every route to a service is Repeatable, so that
// another server may continue any of its interrupted answers.
func (c *Configuration) ServiceRepeatable(service string) bool {
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

// UnknownFigures returns the number of services of which estimates cannot be made, because
// the figures of their engines are missing or implausible.
func (c *Configuration) UnknownFigures() int {
	count := 0
	for _, s := range c.Services {
		if s.Engine.Slots > 0 && !s.Engine.Figures.Known() {
			count++
		}
	}
	return count
}

// Origin returns the origin of weights, or an empty Origin if no service is one.
func (c *Configuration) Origin() Origin {
	for _, s := range c.Services {
		if s.Origin.Address != "" {
			return s.Origin
		}
	}
	return Origin{}
}

// ServiceOfModel returns the service whose engines run a model, and false if there is
// none.
func (c *Configuration) ServiceOfModel(model string) (Service, bool) {
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
	State      EngineState // of its engine
	// ColdRemainingMS is for how many milliseconds it remains cold, from when the entry was
	// written.
	ColdRemainingMS float64
	Implausible     string // a field whose value is not used as it is; empty: none
}

// Version is a model version that operators have announced.
type Version struct {
	Model  string
	Number int64
}

// ServedWeights is the model version that an engine has loaded.
type ServedWeights struct {
	Model   string
	Version int64 // 0: none
	Whole   bool  // all layers of that version are loaded
}

// EngineState is the state that an engine reports.
type EngineState struct {
	Born    int64 // Unix milliseconds of its start
	Model   string
	Loaded  LayerRange
	Loading bool  // a load order is in progress
	Orders  int64 // orders that it has accepted since its start; 0 in its entry in the store
}

// LayerRange is a contiguous range of layers of one version.
type LayerRange struct {
	From, To int // half-open: To is excluded
	Version  int64
}

// Served returns the version that the engine has loaded, for a model of that many
// layers.
func (s EngineState) Served(layers int) ServedWeights {
	r := s.Loaded
	return ServedWeights{Model: s.Model, Version: r.Version, Whole: layers > 0 && r.From <= 0 && r.To >= layers}
}
