// Package settings reads the programs' YAML settings strictly: unknown keys,
// missing addresses and values out of range are refused with file, line and key.
package settings

import "gopkg.in/yaml.v3"

// Identity says who a daemon is and where it runs.
type Identity struct {
	Name       string `yaml:"Name"`
	Region     string `yaml:"Region"`
	DataCentre string `yaml:"DataCentre"`
}

// Organisation is one customer and the credential its callers present.
type Organisation struct {
	Name   string `yaml:"Name"`
	Key    string `yaml:"Key"`
	Weight int    `yaml:"Weight"` // share relative to the others; 0 means 1
}

// Gateway is the settings file of almondreel-gateway. Addresses are IP:port,
// services of the platform are base URLs.
type Gateway struct {
	Identity      `yaml:",inline"`
	CallerListen  string         `yaml:"CallerListen"`  // requests of callers
	ControlListen string         `yaml:"ControlListen"` // net/rpc, metrics, health
	Advertise     string         `yaml:"Advertise"`     // address that other processes use; empty: ControlListen
	KeyValue      string         `yaml:"KeyValue"`
	Instances     string         `yaml:"Instances"`
	Origin        string         `yaml:"Origin"`
	Store         string         `yaml:"Store"` // may be empty
	Organisations []Organisation `yaml:"Organisations"`
	MaxBodyBytes  int64          `yaml:"MaxBodyBytes"` // 0 means 1 MiB
}

// Backend is the backend server beside an agent.
type Backend struct {
	Kind         string `yaml:"Kind"`         // Engine or Plain
	Service      string `yaml:"Service"`      // service that the backend server belongs to
	Address      string `yaml:"Address"`      // IP:port
	ChecksOrders bool   `yaml:"ChecksOrders"` // it refuses an older fencing number
}

// Kinds of backend server.
const (
	KindEngine = "Engine"
	KindPlain  = "Plain"
)

// Link is the instance's share of the network for weights. 0 means not shaped.
type Link struct {
	DownBytesPerSecond   int64 `yaml:"DownBytesPerSecond"`
	UpBytesPerSecond     int64 `yaml:"UpBytesPerSecond"`
	RegionBytesPerSecond int64 `yaml:"RegionBytesPerSecond"` // to each other region
}

// Agent is the settings file of almondreel-agent.
type Agent struct {
	Identity  `yaml:",inline"`
	Listen    string  `yaml:"Listen"`    // dispatch, chunks, net/rpc, metrics, health
	Advertise string  `yaml:"Advertise"` // address that other processes use; empty: Listen
	Backend   Backend `yaml:"Backend"`
	Instances string  `yaml:"Instances"`
	Origin    string  `yaml:"Origin"`
	Store     string  `yaml:"Store"` // may be empty
	Link      Link    `yaml:"Link"`
}

// Address is where other processes reach the gateway's control listener.
func (g Gateway) Address() string {
	if g.Advertise != "" {
		return g.Advertise
	}
	return g.ControlListen
}

// Address is where other processes reach the agent.
func (a Agent) Address() string {
	if a.Advertise != "" {
		return a.Advertise
	}
	return a.Listen
}

// Operator is the settings file of almondreel, the operators' command line.
type Operator struct {
	KeyValue string   `yaml:"KeyValue"` // base URL
	Operator string   `yaml:"Operator"` // name that accepted changes are recorded under
	Gateways []string `yaml:"Gateways"` // base URLs of gateways' ControlListen
}

// LoadGateway reads and checks a gateway's settings file.
func LoadGateway(file string) (Gateway, error) {
	var g Gateway
	err := load(file, &g)
	return g, err
}

// LoadAgent reads and checks an agent's settings file.
func LoadAgent(file string) (Agent, error) {
	var a Agent
	err := load(file, &a)
	return a, err
}

// LoadOperator reads and checks an operator's settings file.
func LoadOperator(file string) (Operator, error) {
	var o Operator
	err := load(file, &o)
	return o, err
}

// Decode reads one YAML document from file into target. Unknown keys and values
// of another kind are an error that joins an *Invalid for each.
func Decode(file string, target any) error {
	root, err := readRoot(file)
	if err != nil {
		return err
	}
	_, err = fill(file, root, target)
	return err
}

// checked is a program's settings.
type checked interface {
	check(c checker) error
}

func load(file string, target checked) error {
	root, err := readRoot(file)
	if err != nil {
		return err
	}
	return fillChecked(file, root, target)
}

func fillChecked(file string, root *yaml.Node, target checked) error {
	d, err := fill(file, root, target)
	if err != nil {
		return err
	}
	return target.check(checker{document: d})
}
