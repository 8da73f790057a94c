package settings

import (
	"errors"
	"fmt"
	"net"
	"net/url"
	"strconv"
	"strings"
	"unicode"
)

const (
	maxNameBytes = 100
	maxWeight    = 1000
	maxBodyBytes = 64 << 20
	maxPort      = 1<<16 - 1
	// maxGraceSeconds is longer than any drain.
	maxGraceSeconds = 3600
)

// checker validates the values of a decoded document and collects every error.
type checker struct {
	document document
	problems []error
}

func (c *checker) err() error { return errors.Join(c.problems...) }

// require records an error for the value at key if ok is false.
func (c *checker) require(ok bool, key, expected string) {
	if !ok {
		c.problems = append(c.problems, c.document.keyError(key, expected))
	}
}

func (g Gateway) check(c checker) error {
	g.Identity.check(&c)
	c.listen("CallerListen", g.CallerListen)
	c.listen("ControlListen", g.ControlListen)
	c.optionalAddress("Advertise", g.Advertise)
	c.baseURL("KeyValue", g.KeyValue)
	c.baseURL("Instances", g.Instances)
	c.baseURL("Origin", g.Origin)
	c.optionalURL("Store", g.Store)
	c.require(g.MaxBodyBytes >= 0 && g.MaxBodyBytes <= maxBodyBytes, "MaxBodyBytes",
		fmt.Sprintf("a number of bytes from 0 to %d", maxBodyBytes))
	c.require(g.GraceSeconds >= 0 && g.GraceSeconds <= maxGraceSeconds, "GraceSeconds",
		fmt.Sprintf("a number of seconds from 0 to %d", maxGraceSeconds))
	c.organisations(g.Organisations)
	c.memory(g.MemoryMB, max(g.MaxBodyBytes, defaultBodyBytes))
	return c.err()
}

func (c *checker) organisations(all []Organisation) {
	c.require(len(all) > 0, "Organisations", "at least one organisation")
	names, keys := map[string]bool{}, map[string]bool{}
	for i, o := range all {
		at := fmt.Sprintf("Organisations[%d].", i)
		c.name(at+"Name", o.Name)
		c.require(!names[o.Name], at+"Name", "a name that no other organisation has")
		c.require(o.Key != "" && !keys[o.Key], at+"Key", "a credential that no other organisation has")
		c.require(o.Weight >= 0 && o.Weight <= maxWeight, at+"Weight", fmt.Sprintf("a weight from 0 to %d", maxWeight))
		names[o.Name], keys[o.Key] = true, true
	}
}

func (a Agent) check(c checker) error {
	a.Identity.check(&c)
	c.listen("Listen", a.Listen)
	c.optionalAddress("Advertise", a.Advertise)
	c.baseURL("Instances", a.Instances)
	c.optionalURL("Store", a.Store)
	c.backend(a.Backend)
	if a.Backend.Kind == KindEngine {
		c.baseURL("Origin", a.Origin)
	} else {
		c.optionalURL("Origin", a.Origin)
	}
	c.rate("Link.DownBytesPerSecond", a.Link.DownBytesPerSecond)
	c.rate("Link.UpBytesPerSecond", a.Link.UpBytesPerSecond)
	c.rate("Link.RegionBytesPerSecond", a.Link.RegionBytesPerSecond)
	c.memory(a.MemoryMB, defaultBodyBytes)
	return c.err()
}

func (o Operator) check(c checker) error {
	c.baseURL("KeyValue", o.KeyValue)
	c.name("Operator", o.Operator)
	c.require(len(o.Gateways) > 0, "Gateways", "at least one URL such as http://10.0.0.7:7000")
	for i, g := range o.Gateways {
		c.baseURL(fmt.Sprintf("Gateways[%d]", i), g)
	}
	return c.err()
}

func (c *checker) backend(b Backend) {
	c.require(b.Kind == KindEngine || b.Kind == KindPlain, "Backend.Kind", "Engine or Plain")
	c.name("Backend.Service", b.Service)
	c.address("Backend.Address", b.Address)
}

func (i Identity) check(c *checker) {
	c.name("Name", i.Name)
	c.name("Region", i.Region)
	c.name("DataCentre", i.DataCentre)
}

// name checks that a name can be used in store keys, URL paths and logs.
func (c *checker) name(key, value string) {
	ok := value != "" && len(value) <= maxNameBytes && !strings.ContainsFunc(value, invalidNameRune)
	c.require(ok, key, fmt.Sprintf("a name of 1 to %d bytes without spaces and slashes", maxNameBytes))
}

func invalidNameRune(r rune) bool {
	return r == '/' || unicode.IsSpace(r) || !unicode.IsPrint(r)
}

func (c *checker) rate(key string, bytesPerSecond int64) {
	c.require(bytesPerSecond >= 0, key, "bytes per second, 0 (not shaped) or more")
}

// listen checks an address to listen on. Port 0 lets the system choose a free port.
func (c *checker) listen(key, value string) {
	_, ok := portOf(value)
	c.require(ok, key, "an IP address and port such as 10.0.0.7:7000")
}

func (c *checker) address(key, value string) {
	port, ok := portOf(value)
	c.require(ok && port > 0, key, "an IP address and port such as 10.0.0.7:7000")
}

func (c *checker) optionalAddress(key, value string) {
	if value != "" {
		c.address(key, value)
	}
}

// portOf returns the port of an IP:port address, and false if the address is invalid.
func portOf(value string) (int, bool) {
	host, text, err := net.SplitHostPort(value)
	if err != nil || net.ParseIP(host) == nil {
		return 0, false
	}
	port, err := strconv.Atoi(text)
	return port, err == nil && port >= 0 && port <= maxPort
}

// indexedKey returns the key path of the i-th entry of a list.
func indexedKey(key string, i int) string { return key + "[" + strconv.Itoa(i) + "]" }

func (c *checker) baseURL(key, value string) {
	u, err := url.Parse(value)
	ok := err == nil && u.Host != "" && (u.Scheme == "http" || u.Scheme == "https")
	c.require(ok, key, "a URL such as http://10.0.0.7:7000")
}

func (c *checker) optionalURL(key, value string) {
	if value != "" {
		c.baseURL(key, value)
	}
}
