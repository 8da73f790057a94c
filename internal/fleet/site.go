// Package fleet starts an example site, its daemons, backend servers and stand-ins, as
// processes for the demo and end-to-end tests. The daemons do not use it.
package fleet

import (
	"fmt"

	"almondreel.example/almondreel/internal/settings"
)

// Region is one region and its data centre.
type Region struct {
	Name       string `yaml:"Name"`
	DataCentre string `yaml:"DataCentre"`
	Gateways   int    `yaml:"Gateways"`
}

// Service is a group of backend servers, distributed round-robin over the regions.
type Service struct {
	Name         string `yaml:"Name"`
	Kind         string `yaml:"Kind"` // settings.KindEngine or settings.KindPlain
	Instances    int    `yaml:"Instances"`
	ChecksOrders bool   `yaml:"ChecksOrders"`
	OneProcess   bool   `yaml:"OneProcess"` // all instances share one backend server process
	// Simulated latencies and batch size of the stand-in backend servers.
	FirstTokenMilliseconds    int `yaml:"FirstTokenMilliseconds"`
	BetweenTokensMilliseconds int `yaml:"BetweenTokensMilliseconds"`
	AnswerMilliseconds        int `yaml:"AnswerMilliseconds"`
	Slots                     int `yaml:"Slots"`
}

// Class is a class of requests that the site's operator creates.
type Class struct {
	Name              string `yaml:"Name"`
	Kind              string `yaml:"Kind"` // Model or Plain
	Service           string `yaml:"Service"`
	NotIdempotent     bool   `yaml:"NotIdempotent"`
	Replicas          int    `yaml:"Replicas"`
	Priority          int    `yaml:"Priority"`
	FirstToken        string `yaml:"FirstToken"`   // such as 540ms
	AnswerWithin      string `yaml:"AnswerWithin"` // such as 20s
	Weighing          string `yaml:"Weighing"`     // Time or OriginBytes
	RequestsPerSecond int    `yaml:"RequestsPerSecond"`
	MaxTokens         int    `yaml:"MaxTokens"`
	Prompt            string `yaml:"Prompt"`
}

// Version is a model version that the origin publishes, with generated weights.
type Version struct {
	Version    string `yaml:"Version"`
	Bytes      int64  `yaml:"Bytes"`
	ChunkBytes int64  `yaml:"ChunkBytes"`
	Seed       uint64 `yaml:"Seed"`
}

// Model is the site's model with its first version and the version released later.
type Model struct {
	Name        string  `yaml:"Name"`
	First       Version `yaml:"First"`
	Next        Version `yaml:"Next"`
	ReadyWithin string  `yaml:"ReadyWithin"`
}

// Links are the bandwidths for the transfer of weights.
type Links struct {
	OriginBytesPerSecond       int64 `yaml:"OriginBytesPerSecond"`
	StoreBytesPerSecond        int64 `yaml:"StoreBytesPerSecond"`
	InstanceDownBytesPerSecond int64 `yaml:"InstanceDownBytesPerSecond"`
	InstanceUpBytesPerSecond   int64 `yaml:"InstanceUpBytesPerSecond"`
	RegionBytesPerSecond       int64 `yaml:"RegionBytesPerSecond"` // between each pair of regions, in each direction
}

// Site describes an example site, as in examples/*.yaml.
type Site struct {
	Name          string                  `yaml:"Name"`
	Regions       []Region                `yaml:"Regions"`
	Services      []Service               `yaml:"Services"`
	Organisations []settings.Organisation `yaml:"Organisations"`
	Classes       []Class                 `yaml:"Classes"`
	Model         Model                   `yaml:"Model"`
	Links         Links                   `yaml:"Links"`
}

// LoadSite reads a site from a YAML file.
func LoadSite(file string) (Site, error) {
	var s Site
	if err := settings.Decode(file, &s); err != nil {
		return Site{}, err
	}
	if len(s.Regions) == 0 || len(s.Services) == 0 || len(s.Classes) == 0 || len(s.Organisations) == 0 {
		return Site{}, fmt.Errorf("%s: expected Regions, Services, Classes and Organisations", file)
	}
	return s, nil
}

// Engines returns the number of the site's engines.
func (s Site) Engines() int {
	n := 0
	for _, v := range s.Services {
		if v.Kind == settings.KindEngine {
			n += v.Instances
		}
	}
	return n
}

// enginesPerRegion returns the largest number of engines in a region, which share its
// bandwidth to other regions; at least 1.
func (s Site) enginesPerRegion() int64 {
	n := (s.Engines() + len(s.Regions) - 1) / len(s.Regions)
	return int64(max(n, 1))
}
