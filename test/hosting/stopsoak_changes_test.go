package hosting_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"almondreel.example/almondreel/internal/pause"
	"almondreel.example/almondreel/platform/standin"
)

const (
	// configurationTime is the time in which gateways must apply a configuration.
	configurationTime = 2 * time.Second
	// plannedTimeoutMS is the shortest timeout of routes, in milliseconds.
	plannedTimeoutMS = 3500
)

// plannedConfigurations are the configurations that were written to the store. It is safe
// for concurrent use.
type plannedConfigurations struct {
	mu      sync.Mutex
	written []writtenConfiguration
	bound   homeBinding // of the next configurations
}

// writtenConfiguration is a configuration with the time in which it was the store's.
type writtenConfiguration struct {
	standin.Configuration
	from, to time.Time // to is zero for the last one
}

// inForce reports whether w may have been in force at some time of a request.
func (w writtenConfiguration) inForce(began, ended time.Time) bool {
	return !ended.Before(w.from) && (w.to.IsZero() || began.Before(w.to.Add(configurationTime)))
}

// inForce returns the configurations that may have been in force at some time of a request.
func (p *plannedConfigurations) inForce(began, ended time.Time) []standin.Configuration {
	p.mu.Lock()
	defer p.mu.Unlock()
	var found []standin.Configuration
	for _, w := range p.written {
		if w.inForce(began, ended) {
			found = append(found, w.Configuration)
		}
	}
	return found
}

// writeConfiguration writes the next configuration to the store.
func (s *plannedSoak) writeConfiguration(c standin.Configuration) {
	s.configurations.mu.Lock()
	defer s.configurations.mu.Unlock()
	s.writeNext(c)
}

// writeNext writes the next configuration, with the current binding, to the store. Callers
// hold the mutex of s.configurations.
func (s *plannedSoak) writeNext(c standin.Configuration) {
	p := &s.configurations
	s.configurationVersion++
	c.Version, c.ColdPerSecond = s.configurationVersion, s.coldPerSecond
	c.TenantRegions, c.Regions, c.RegionsPrefix = p.bound.tenant, p.bound.route, p.bound.prefix
	c.Keys, c.WithoutRoutes, c.Split = slices.Clone(c.Keys), slices.Clone(c.WithoutRoutes), slices.Clone(c.Split)
	from := time.Now()
	s.store.Configure(c)
	if last := len(p.written) - 1; last >= 0 {
		p.written[last].to = time.Now()
	}
	p.written = append(p.written, writtenConfiguration{Configuration: c, from: from})
}

func (s *plannedSoak) firstConfiguration() standin.Configuration {
	return standin.Configuration{Keys: []string{apiKey, secondKey}, Origin: s.originAddress, TimeoutMS: plannedTimeoutMS}
}

// changeConfigurations changes the configuration, often several times in a row: it removes
// routes and brings them back, revokes and adds credentials, moves a route between services,
// and changes weights, timeouts and targets. It ends with the first configuration.
func (s *plannedSoak) changeConfigurations(ctx context.Context, r *rand.Rand) {
	c := s.firstConfiguration()
	pauses := []time.Duration{time.Millisecond, 100 * time.Millisecond, 500 * time.Millisecond, 2 * time.Second}
	for n := 0; ctx.Err() == nil; n++ {
		c.WithoutRoutes = nil // what is left out comes back with the next change
		for range 1 + r.IntN(3) {
			changeConfiguration(&c, r)
		}
		c.Keys = append(c.Keys, fmt.Sprint("key-", n))
		s.writeConfiguration(c)
		pause.For(ctx, time.Duration(r.Int64N(int64(pauses[r.IntN(len(pauses))]))))
	}
	s.writeConfiguration(s.firstConfiguration())
}

const (
	// stormPauseMS is the least pause between two changes of a storm, in milliseconds, and
	// stormPauseRangeMS how much longer it may be.
	stormPauseMS, stormPauseRangeMS = 80, 251
	// stormMS is the least time of a storm, in milliseconds, and stormRangeMS how much longer
	// it may take.
	stormMS, stormRangeMS = 2000, 4001
	// maxMoreRoutes is the largest number of further routes in a storm.
	maxMoreRoutes = 1400
)

// stormConfigurations changes the configuration in storms, some with many routes, and ends
// with the first configuration.
func (s *plannedSoak) stormConfigurations(ctx context.Context, r *rand.Rand) {
	for ctx.Err() == nil {
		pause.For(ctx, time.Duration(r.IntN(4000))*time.Millisecond)
		c, large := s.firstConfiguration(), r.IntN(2) == 0
		for end := time.Now().Add(time.Duration(stormMS+r.IntN(stormRangeMS)) * time.Millisecond); ctx.Err() == nil && time.Now().Before(end); {
			c.WithoutRoutes = nil
			changeConfiguration(&c, r)
			if large {
				c.MoreRoutes = r.IntN(maxMoreRoutes + 1)
			}
			s.writeConfiguration(c)
			pause.For(ctx, time.Duration(stormPauseMS+r.IntN(stormPauseRangeMS))*time.Millisecond)
		}
	}
	s.writeConfiguration(s.firstConfiguration())
}

func changeConfiguration(c *standin.Configuration, r *rand.Rand) {
	toggle := func(all []string, item string) []string {
		if n := slices.Index(all, item); n >= 0 {
			return slices.Delete(slices.Clone(all), n, n+1)
		}
		return append(slices.Clone(all), item)
	}
	switch r.IntN(6) {
	case 0:
		c.WithoutRoutes = toggle(c.WithoutRoutes, []string{standin.StreamPath, standin.OncePath}[r.IntN(2)])
	case 1:
		c.Keys = toggle(c.Keys, secondKey)
	case 2:
		c.Keys = []string{apiKey}
	case 3:
		services := []string{standin.PlainService, standin.SpareService}
		c.Split = []standin.Share{{Service: services[r.IntN(2)], Weight: 1 + r.IntN(9)}}
	case 4:
		c.Split = []standin.Share{{Service: standin.PlainService, Weight: 1 + r.IntN(9)}, {Service: standin.SpareService, Weight: 1 + r.IntN(9)}}
	case 5:
		c.TimeoutMS, c.TargetMS = plannedTimeoutMS+r.IntN(5000), 100+r.IntN(1000)
	}
}

// changeVersions names the next version at times.
func (s *plannedSoak) changeVersions(ctx context.Context, r *rand.Rand) {
	for ctx.Err() == nil {
		pause.For(ctx, time.Duration(r.IntN(7000))*time.Millisecond)
		s.version++
		s.mu.Lock()
		s.named = append(s.named, time.Now())
		s.mu.Unlock()
		s.store.SetVersion(s.version)
	}
}

// routed reports whether a configuration has the route of a path.
func routed(c standin.Configuration, path string) bool {
	return !slices.Contains(c.WithoutRoutes, path)
}

// allowed reports whether a configuration allows a request to run at a service.
func allowed(c standin.Configuration, path, key, service string) bool {
	services := []string{standin.EngineService}
	if path == standin.OncePath {
		services = []string{standin.PlainService}
		if len(c.Split) > 0 {
			services = nil
		}
		for _, share := range c.Split {
			services = append(services, share.Service)
		}
	}
	return routed(c, path) && slices.Contains(c.Keys, key) && slices.Contains(services, service)
}
