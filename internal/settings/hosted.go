package settings

import "fmt"

// Hosting holds the settings common to daemons on a hosting platform, which fills
// in the templates in deploy/. Addresses are IP:port.
type Hosting struct {
	Program   Program  `yaml:"Program"`   // program that the settings are for
	Store     string   `yaml:"Store"`     // the platform's metadata store
	Gateways  []string `yaml:"Gateways"`  // NeighbourListen addresses of some gateways; they may be stale
	Places    []Place  `yaml:"Places"`    // data centres of the site
	MemoryMB  int      `yaml:"MemoryMB"`  // memory limit of the process, in megabytes
	VersionMS int      `yaml:"VersionMS"` // milliseconds within which a newly configured version must serve on all instances
}

// Place is a data centre and its region.
type Place struct {
	DataCentre string `yaml:"DataCentre"`
	Region     string `yaml:"Region"`
}

// HostedGateway is the settings file of almondreel-gateway on a hosting platform.
type HostedGateway struct {
	Identity        `yaml:",inline"`
	Hosting         Hosting     `yaml:"Hosting"`
	CallerListen    string      `yaml:"CallerListen"`    // address for callers' requests
	ReadyListen     string      `yaml:"ReadyListen"`     // address for the platform's readiness probes
	NeighbourListen string      `yaml:"NeighbourListen"` // address for net/rpc between gateways and agents, and metrics
	Retries         RetryBudget `yaml:"Retries"`
	Scheduling      Scheduling  `yaml:"Scheduling"`
	Files           int         `yaml:"Files"`        // limit of open file descriptors, sockets included
	GraceSeconds    float64     `yaml:"GraceSeconds"` // time from SIGTERM until the platform kills the process
	ColdStart       ColdStart   `yaml:"ColdStart"`    // without it cold engines are not limited
	EvacuateMS      int         `yaml:"EvacuateMS"`   // milliseconds from which an evacuated data centre gets no request, also from a gateway that was stopped meanwhile; 0: no limit
	// CallerMemoryMB is the memory for the bodies and long headers of callers' requests, in
	// megabytes; 0: a fifth of MemoryMB.
	CallerMemoryMB int `yaml:"CallerMemoryMB"`
}

// ColdStart limits the requests of all gateways together to a cold engine. Within any
// second it receives at most the number that it accepts times Overage, plus Tolerance.
type ColdStart struct {
	Overage   float64 `yaml:"Overage"`   // above 0
	Tolerance float64 `yaml:"Tolerance"` // requests
}

// RetryBudget limits the retries of all gateways together within a time window.
type RetryBudget struct {
	Share       float64 `yaml:"Share"`       // retries allowed as a share of the window's requests, 0 to 1
	Besides     int     `yaml:"Besides"`     // retries allowed in the window in addition to Share
	SpanSeconds float64 `yaml:"SpanSeconds"` // length of the window
}

// Scheduling selects how the gateways of a site share its engines.
type Scheduling struct {
	// ExactShares divides the slots of engines among the gateways, for sites whose callers
	// compete for them. Sites with so many gateways that their least shares exceed the
	// slots have it in any case.
	ExactShares bool `yaml:"ExactShares"`
	// Estimates chooses engines by the expected time to the first answer and the delay of
	// what runs there, by the engines' published figures. Sites with that many gateways
	// have it in any case.
	Estimates bool `yaml:"Estimates"`
}

// HostedAgent is the settings file of almondreel-agent on a hosting platform.
type HostedAgent struct {
	Identity     `yaml:",inline"`
	Hosting      Hosting `yaml:"Hosting"`
	PieceListen  string  `yaml:"PieceListen"` // address for pieces sent to other agents, and metrics
	Backend      Backend `yaml:"Backend"`
	LinkMegabits float64 `yaml:"LinkMegabits"` // bandwidth of the instance's network link, megabits per second
}

// Region returns the region of a data centre, or "" if Places does not list it.
func (h Hosting) Region(dataCentre string) string {
	for _, p := range h.Places {
		if p.DataCentre == dataCentre {
			return p.Region
		}
	}
	return ""
}

// LoadHostedGateway reads and checks a hosted gateway's settings file.
func LoadHostedGateway(file string) (HostedGateway, error) {
	var g HostedGateway
	err := load(file, &g)
	return g, err
}

// LoadHostedAgent reads and checks a hosted agent's settings file.
func LoadHostedAgent(file string) (HostedAgent, error) {
	var a HostedAgent
	err := load(file, &a)
	return a, err
}

// IsHosted reports whether file holds the settings of a program on a hosting platform.
func IsHosted(file string) (bool, error) {
	root, err := readRoot(file)
	if err != nil {
		return false, err
	}
	return hasKey(root, "Hosting"), nil
}

const (
	minFiles      = 64
	maxFiles      = 1 << 24
	minMemoryMB   = 16
	maxMemoryMB   = 1 << 20
	maxDurationMS = 10 * 60 * 1000
	// minEvacuateMS leaves half for the time in which a change reaches all gateways, and half
	// for a pause of one, which a busy machine must not cause.
	minEvacuateMS = 2000
)

func (g HostedGateway) check(c checker) error {
	g.Identity.check(&c)
	c.hosting(g.Hosting, ProgramGateway)
	c.listen("CallerListen", g.CallerListen)
	c.listen("ReadyListen", g.ReadyListen)
	c.listen("NeighbourListen", g.NeighbourListen)
	c.require(g.Retries.Share >= 0 && g.Retries.Share <= 1, "Retries.Share", "a share from 0 to 1")
	c.require(g.Retries.Besides >= 0, "Retries.Besides", "a number, 0 or more")
	c.require(g.Retries.SpanSeconds > 0 && g.Retries.SpanSeconds <= maxDurationMS/1000, "Retries.SpanSeconds", "seconds, above 0, at most ten minutes")
	c.require(g.Files >= minFiles && g.Files <= maxFiles, "Files", "a number, 64 or more")
	c.require(g.EvacuateMS == 0 || g.EvacuateMS >= minEvacuateMS && g.EvacuateMS <= maxDurationMS, "EvacuateMS", "milliseconds, 0 or 2000 to 600000")
	c.require(g.GraceSeconds > 0 && g.GraceSeconds <= maxDurationMS/1000, "GraceSeconds", "seconds, above 0, at most ten minutes")
	c.coldStart(g.ColdStart)
	g.checkMemory(&c)
	return c.err()
}

func (a HostedAgent) check(c checker) error {
	a.Identity.check(&c)
	c.hosting(a.Hosting, ProgramAgent)
	c.listen("PieceListen", a.PieceListen)
	c.backend(a.Backend)
	c.require(a.LinkMegabits > 0, "LinkMegabits", "megabits a second, above 0")
	return c.err()
}

func (c *checker) hosting(h Hosting, p Program) {
	c.require(h.Program == p, "Hosting.Program", string(p))
	c.address("Hosting.Store", h.Store)
	for i, g := range h.Gateways {
		c.address(indexedKey("Hosting.Gateways", i), g)
	}
	c.require(len(h.Places) > 0, "Hosting.Places", "at least one data centre")
	for i, p := range h.Places {
		c.name(indexedKey("Hosting.Places", i)+".DataCentre", p.DataCentre)
		c.name(indexedKey("Hosting.Places", i)+".Region", p.Region)
	}
	c.require(h.MemoryMB >= minMemoryMB && h.MemoryMB <= maxMemoryMB, "Hosting.MemoryMB", "megabytes, 16 or more")
	c.milliseconds("Hosting.VersionMS", h.VersionMS)
}

const (
	maxColdOverage   = 1000
	maxColdTolerance = 1 << 20
)

func (c *checker) coldStart(s ColdStart) {
	c.require(s.Overage >= 0 && s.Overage <= maxColdOverage, "ColdStart.Overage", fmt.Sprintf("a factor from 0 to %d", maxColdOverage))
	c.require(s.Tolerance >= 0 && s.Tolerance <= maxColdTolerance, "ColdStart.Tolerance", fmt.Sprintf("a number of requests from 0 to %d", maxColdTolerance))
	if s.Tolerance > 0 {
		c.require(s.Overage != 0, "ColdStart.Overage", fmt.Sprintf("a factor above 0 beside Tolerance %g: Overage %g switches the limit off", s.Tolerance, s.Overage))
	}
}

func (c *checker) milliseconds(key string, milliseconds int) {
	c.require(milliseconds > 0 && milliseconds <= maxDurationMS, key, "milliseconds, above 0, at most ten minutes")
}
