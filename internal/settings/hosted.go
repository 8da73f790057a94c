package settings

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
	Files           int         `yaml:"Files"`        // limit of open file descriptors, sockets included
	GraceSeconds    float64     `yaml:"GraceSeconds"` // time from SIGTERM until the platform kills the process
	// CallerMemoryMB is the memory for the bodies and long headers of callers' requests, in
	// megabytes; 0: a fifth of MemoryMB.
	CallerMemoryMB int `yaml:"CallerMemoryMB"`
}

// RetryBudget limits the retries of all gateways together within a time window.
type RetryBudget struct {
	Share       float64 `yaml:"Share"`       // retries allowed as a share of the window's requests, 0 to 1
	Besides     int     `yaml:"Besides"`     // retries allowed in the window in addition to Share
	SpanSeconds float64 `yaml:"SpanSeconds"` // length of the window
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
	c.require(g.GraceSeconds > 0 && g.GraceSeconds <= maxDurationMS/1000, "GraceSeconds", "seconds, above 0, at most ten minutes")
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

func (c *checker) milliseconds(key string, milliseconds int) {
	c.require(milliseconds > 0 && milliseconds <= maxDurationMS, key, "milliseconds, above 0, at most ten minutes")
}
