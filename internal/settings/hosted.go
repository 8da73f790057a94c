package settings

// Hosting is what a daemon is told that runs on a hosting platform, which fills
// in the templates in deploy/. Addresses are IP:port.
type Hosting struct {
	Program   Program  `yaml:"Program"`   // that the settings are for
	Store     string   `yaml:"Store"`     // the platform's metadata store
	Gateways  []string `yaml:"Gateways"`  // neighbour addresses of some gateways; they may be stale
	Places    []Place  `yaml:"Places"`    // data centres of the site
	MemoryMB  int      `yaml:"MemoryMB"`  // megabytes that the process may use
	VersionMS int      `yaml:"VersionMS"` // milliseconds until a named version serves everywhere
}

// Place is a data centre and its region.
type Place struct {
	DataCentre string `yaml:"DataCentre"`
	Region     string `yaml:"Region"`
}

// HostedGateway is the settings file of almondreel-gateway on a hosting platform.
type HostedGateway struct {
	Identity        `yaml:",inline"`
	Hosting         Hosting `yaml:"Hosting"`
	CallerListen    string  `yaml:"CallerListen"`    // requests of callers
	ReadyListen     string  `yaml:"ReadyListen"`     // the platform's readiness questions
	NeighbourListen string  `yaml:"NeighbourListen"` // net/rpc of gateways and agents, metrics
	Retries         Retries `yaml:"Retries"`
	Files           int     `yaml:"Files"`        // that the process may have open, sockets included
	GraceSeconds    float64 `yaml:"GraceSeconds"` // from SIGTERM until the platform kills the process
}

// Retries bounds what all gateways together send once more.
type Retries struct {
	Share       float64 `yaml:"Share"`   // of the requests of the span
	Besides     int     `yaml:"Besides"` // in the span, whatever the requests
	SpanSeconds float64 `yaml:"SpanSeconds"`
}

// HostedAgent is the settings file of almondreel-agent on a hosting platform.
type HostedAgent struct {
	Identity     `yaml:",inline"`
	Hosting      Hosting `yaml:"Hosting"`
	PieceListen  string  `yaml:"PieceListen"` // pieces for other agents, metrics
	Backend      Backend `yaml:"Backend"`
	LinkMegabits float64 `yaml:"LinkMegabits"` // a second, of the instance's link
}

// Region returns the region of a data centre, or "".
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

// IsHosted reports whether file is for a program on a hosting platform.
func IsHosted(file string) (bool, error) {
	root, err := readRoot(file)
	if err != nil {
		return false, err
	}
	return hasKey(root, "Hosting"), nil
}

const (
	minFiles    = 64
	maxFiles    = 1 << 24
	minMemoryMB = 16
	maxMemoryMB = 1 << 20
	maxBoundMS  = 10 * 60 * 1000
)

func (g HostedGateway) check(c checker) error {
	g.Identity.check(&c)
	c.hosting(g.Hosting, ProgramGateway)
	c.listen("CallerListen", g.CallerListen)
	c.listen("ReadyListen", g.ReadyListen)
	c.listen("NeighbourListen", g.NeighbourListen)
	c.refuse(g.Retries.Share >= 0 && g.Retries.Share <= 1, "Retries.Share", "a share from 0 to 1")
	c.refuse(g.Retries.Besides >= 0, "Retries.Besides", "a number, 0 or more")
	c.refuse(g.Retries.SpanSeconds > 0 && g.Retries.SpanSeconds <= maxBoundMS/1000, "Retries.SpanSeconds", "seconds, above 0, at most ten minutes")
	c.refuse(g.Files >= minFiles && g.Files <= maxFiles, "Files", "a number, 64 or more")
	c.refuse(g.GraceSeconds > 0 && g.GraceSeconds <= maxBoundMS/1000, "GraceSeconds", "seconds, above 0, at most ten minutes")
	return c.err()
}

func (a HostedAgent) check(c checker) error {
	a.Identity.check(&c)
	c.hosting(a.Hosting, ProgramAgent)
	c.listen("PieceListen", a.PieceListen)
	c.backend(a.Backend)
	c.refuse(a.LinkMegabits > 0, "LinkMegabits", "megabits a second, above 0")
	return c.err()
}

func (c *checker) hosting(h Hosting, p Program) {
	c.refuse(h.Program == p, "Hosting.Program", string(p))
	c.address("Hosting.Store", h.Store)
	for i, g := range h.Gateways {
		c.address(indexed("Hosting.Gateways", i), g)
	}
	c.refuse(len(h.Places) > 0, "Hosting.Places", "at least one data centre")
	for i, p := range h.Places {
		c.name(indexed("Hosting.Places", i)+".DataCentre", p.DataCentre)
		c.name(indexed("Hosting.Places", i)+".Region", p.Region)
	}
	c.refuse(h.MemoryMB >= minMemoryMB && h.MemoryMB <= maxMemoryMB, "Hosting.MemoryMB", "megabytes, 16 or more")
	c.bound("Hosting.VersionMS", h.VersionMS)
}

func (c *checker) bound(key string, milliseconds int) {
	c.refuse(milliseconds > 0 && milliseconds <= maxBoundMS, key, "milliseconds, above 0, at most ten minutes")
}
