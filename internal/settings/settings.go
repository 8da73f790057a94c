// Package settings reads and validates the YAML settings files of the gateway, the
// agent and the operator command line. Unknown keys, missing addresses and values
// out of range are errors that give file, line and key.
package settings

import "gopkg.in/yaml.v3"

// Identity is the name and the location of a daemon.
type Identity struct {
	Name       string `yaml:"Name"`
	Region     string `yaml:"Region"`
	DataCentre string `yaml:"DataCentre"`
}

// Organisation is a group of callers that share a credential and a scheduling weight.
type Organisation struct {
	Name   string `yaml:"Name"`
	Key    string `yaml:"Key"`    // credential that callers present
	Weight int    `yaml:"Weight"` // share under load relative to the other organisations; 0 means 1
}

// Gateway is the settings file of almondreel-gateway. Addresses are IP:port;
// KeyValue, Instances, Origin and Store are base URLs.
type Gateway struct {
	Identity      `yaml:",inline"`
	CallerListen  string         `yaml:"CallerListen"`  // address for callers' requests
	ControlListen string         `yaml:"ControlListen"` // address for net/rpc, metrics and health checks
	Advertise     string         `yaml:"Advertise"`     // address that other processes use; empty: ControlListen
	KeyValue      string         `yaml:"KeyValue"`      // key-value service
	Instances     string         `yaml:"Instances"`     // service that lists the instances
	Origin        string         `yaml:"Origin"`        // origin of model weights
	Store         string         `yaml:"Store"`         // weight store; empty: none
	Organisations []Organisation `yaml:"Organisations"`
	MaxBodyBytes  int64          `yaml:"MaxBodyBytes"` // limit of a request's body; 0 means 1 MiB
	GraceSeconds  float64        `yaml:"GraceSeconds"` // time from SIGTERM until the process is killed; 0: it is not
	MemoryMB      int            `yaml:"MemoryMB"`     // memory limit of the process, in megabytes; 0: it has none
}

// Backend describes the backend server that an agent manages.
type Backend struct {
	Kind         string `yaml:"Kind"`         // Engine or Plain
	Service      string `yaml:"Service"`      // service that the backend server belongs to
	Address      string `yaml:"Address"`      // IP:port
	ChecksOrders bool   `yaml:"ChecksOrders"` // whether it rejects load orders with an older fencing number
}

// Kinds of backend server.
const (
	KindEngine = "Engine"
	KindPlain  = "Plain"
)

// Link limits the network bandwidth that an instance uses for weights. 0 means
// unlimited.
type Link struct {
	DownBytesPerSecond   int64 `yaml:"DownBytesPerSecond"`
	UpBytesPerSecond     int64 `yaml:"UpBytesPerSecond"`
	RegionBytesPerSecond int64 `yaml:"RegionBytesPerSecond"` // upload to each other region
}

// Agent is the settings file of almondreel-agent. Listen and Advertise are IP:port;
// Instances, Origin and Store are base URLs.
type Agent struct {
	Identity  `yaml:",inline"`
	Listen    string  `yaml:"Listen"`    // address for dispatch, chunks, net/rpc, metrics and health checks
	Advertise string  `yaml:"Advertise"` // address that other processes use; empty: Listen
	Backend   Backend `yaml:"Backend"`
	Instances string  `yaml:"Instances"` // service that lists the instances
	Origin    string  `yaml:"Origin"`    // origin of model weights
	Store     string  `yaml:"Store"`     // weight store; empty: none
	Link      Link    `yaml:"Link"`
	MemoryMB  int     `yaml:"MemoryMB"` // memory limit of the process, in megabytes; 0: it has none
}

// Address returns the address at which other processes reach the gateway's control
// listener.
func (g Gateway) Address() string {
	if g.Advertise != "" {
		return g.Advertise
	}
	return g.ControlListen
}

// Address returns the address at which other processes reach the agent.
func (a Agent) Address() string {
	if a.Advertise != "" {
		return a.Advertise
	}
	return a.Listen
}

// Operator is the settings file of almondreel, the operator command line.
type Operator struct {
	KeyValue string   `yaml:"KeyValue"` // base URL
	Operator string   `yaml:"Operator"` // name recorded with accepted changes
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

// Decode reads the single YAML document in file into target, a pointer to a struct.
// Its error joins a *KeyError for each unknown or duplicate key and each value of
// the wrong type.
func Decode(file string, target any) error {
	root, err := readRoot(file)
	if err != nil {
		return err
	}
	_, err = decodeNode(file, root, target)
	return err
}

// checkable is a program's settings type.
type checkable interface {
	check(c checker) error
}

func load(file string, target checkable) error {
	root, err := readRoot(file)
	if err != nil {
		return err
	}
	return decodeAndCheck(file, root, target)
}

func decodeAndCheck(file string, root *yaml.Node, target checkable) error {
	d, err := decodeNode(file, root, target)
	if err != nil {
		return err
	}
	return target.check(checker{document: d})
}
