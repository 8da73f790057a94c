// Package settings reads the programs' YAML settings strictly: unknown keys,
// missing addresses and values out of range are refused with file, line and key.
package settings

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/url"
	"os"

	"gopkg.in/yaml.v3"
)

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

// Invalid reports a settings value that cannot be used.
type Invalid struct {
	File, Key, Expected string
}

func (e *Invalid) Error() string {
	return fmt.Sprintf("%s: key %s: expected %s", e.File, e.Key, e.Expected)
}

// LoadGateway reads and checks a gateway's settings file.
func LoadGateway(file string) (Gateway, error) {
	var g Gateway
	if err := Decode(file, &g); err != nil {
		return Gateway{}, err
	}
	return g, g.check(file)
}

// LoadAgent reads and checks an agent's settings file.
func LoadAgent(file string) (Agent, error) {
	var a Agent
	if err := Decode(file, &a); err != nil {
		return Agent{}, err
	}
	return a, a.check(file)
}

// LoadOperator reads and checks an operator's settings file.
func LoadOperator(file string) (Operator, error) {
	var o Operator
	if err := Decode(file, &o); err != nil {
		return Operator{}, err
	}
	return o, o.check(file)
}

// Decode reads one YAML document from file into target; unknown keys are errors
// that name file, line and key.
func Decode(file string, target any) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	decoder := yaml.NewDecoder(bytes.NewReader(text))
	decoder.KnownFields(true)
	if err := decoder.Decode(target); err != nil {
		if errors.Is(err, io.EOF) {
			return fmt.Errorf("%s: empty settings file", file)
		}
		return fmt.Errorf("%s: %w", file, err)
	}
	return nil
}

func (g Gateway) check(file string) error {
	checks := []error{
		g.Identity.check(file),
		address(file, "CallerListen", g.CallerListen),
		address(file, "ControlListen", g.ControlListen),
		optionalAddress(file, "Advertise", g.Advertise),
		baseURL(file, "KeyValue", g.KeyValue),
		baseURL(file, "Instances", g.Instances),
		baseURL(file, "Origin", g.Origin),
		optionalURL(file, "Store", g.Store),
		g.checkOrganisations(file),
	}
	if g.MaxBodyBytes < 0 {
		checks = append(checks, &Invalid{file, "MaxBodyBytes", "a number of bytes, 0 or more"})
	}
	return errors.Join(checks...)
}

func (g Gateway) checkOrganisations(file string) error {
	if len(g.Organisations) == 0 {
		return &Invalid{file, "Organisations", "at least one organisation"}
	}
	names, keys := map[string]bool{}, map[string]bool{}
	for i, o := range g.Organisations {
		key := fmt.Sprintf("Organisations[%d]", i)
		if o.Name == "" || names[o.Name] {
			return &Invalid{file, key + ".Name", "a name that no other organisation has"}
		}
		if o.Key == "" || keys[o.Key] {
			return &Invalid{file, key + ".Key", "a credential that no other organisation has"}
		}
		if o.Weight < 0 {
			return &Invalid{file, key + ".Weight", "a weight, 0 or more"}
		}
		names[o.Name], keys[o.Key] = true, true
	}
	return nil
}

func (a Agent) check(file string) error {
	checks := []error{
		a.Identity.check(file),
		address(file, "Listen", a.Listen),
		optionalAddress(file, "Advertise", a.Advertise),
		address(file, "Backend.Address", a.Backend.Address),
		baseURL(file, "Instances", a.Instances),
		optionalURL(file, "Store", a.Store),
	}
	if a.Backend.Kind != KindEngine && a.Backend.Kind != KindPlain {
		checks = append(checks, &Invalid{file, "Backend.Kind", "Engine or Plain"})
	}
	if a.Backend.Kind == KindEngine {
		checks = append(checks, baseURL(file, "Origin", a.Origin))
	}
	if a.Backend.Service == "" {
		checks = append(checks, &Invalid{file, "Backend.Service", "the service's name"})
	}
	if a.Link.DownBytesPerSecond < 0 || a.Link.UpBytesPerSecond < 0 || a.Link.RegionBytesPerSecond < 0 {
		checks = append(checks, &Invalid{file, "Link", "rates in bytes per second, 0 or more"})
	}
	return errors.Join(checks...)
}

func (o Operator) check(file string) error {
	checks := []error{baseURL(file, "KeyValue", o.KeyValue)}
	if o.Operator == "" {
		checks = append(checks, &Invalid{file, "Operator", "the operator's name"})
	}
	if len(o.Gateways) == 0 {
		checks = append(checks, &Invalid{file, "Gateways", "at least one URL such as http://10.0.0.7:7000"})
	}
	for i, g := range o.Gateways {
		checks = append(checks, baseURL(file, fmt.Sprintf("Gateways[%d]", i), g))
	}
	return errors.Join(checks...)
}

func (i Identity) check(file string) error {
	var checks []error
	for key, value := range map[string]string{"Name": i.Name, "Region": i.Region, "DataCentre": i.DataCentre} {
		if value == "" {
			checks = append(checks, &Invalid{file, key, "a name"})
		}
	}
	return errors.Join(checks...)
}

func address(file, key, value string) error {
	host, port, err := net.SplitHostPort(value)
	if err != nil || net.ParseIP(host) == nil || port == "" {
		return &Invalid{file, key, "an address such as 10.0.0.7:7000"}
	}
	return nil
}

func optionalAddress(file, key, value string) error {
	if value == "" {
		return nil
	}
	return address(file, key, value)
}

func baseURL(file, key, value string) error {
	u, err := url.Parse(value)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return &Invalid{file, key, "a URL such as http://10.0.0.7:7000"}
	}
	return nil
}

func optionalURL(file, key, value string) error {
	if value == "" {
		return nil
	}
	return baseURL(file, key, value)
}
