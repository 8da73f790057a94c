package main

import (
	"io"
	"net/http"

	"almondreel.example/almondreel/internal/standin"
	hosting "almondreel.example/almondreel/platform/standin"
)

type hostingStoreCommand struct {
	Listen  string   `long:"listen" required:"true" description:"address to listen on, IP:port"`
	Origin  string   `long:"origin" description:"address of the origin of weights that the configuration names"`
	Keys    []string `long:"key" description:"a caller's key; may be given more than once"`
	Version int64    `long:"version" default:"1" description:"version of the model that is to serve"`
}

// Execute runs the stand-in for the hosting platform's store with one configuration.
func (c *hostingStoreCommand) Execute([]string) error {
	store := hosting.NewStore()
	store.Configure(hosting.Configuration{Version: 1, Keys: c.Keys, Origin: c.Origin})
	store.SetVersion(c.Version)
	endpoint := store.NewEndpoint()
	return standin.Serve("hosting-store", c.Listen, withFaults(endpoint,
		func() any { return endpoint.Faults() },
		func(body io.Reader) error {
			var f hosting.StoreFaults
			if err := standin.DecodeStrict(body, &f); err != nil {
				return err
			}
			endpoint.SetFaults(f)
			return nil
		}))
}

type hostingEngineCommand struct {
	Listen     string `long:"listen" required:"true" description:"address to listen on, IP:port"`
	ID         string `long:"id" required:"true" description:"name of its entry in the store"`
	Store      string `long:"store" required:"true" description:"address of the hosting platform's store, to be listed in"`
	DataCentre string `long:"data-centre" required:"true" description:"data centre of its entry"`
	EventMS    int    `long:"event-ms" default:"20" description:"milliseconds between two events of an answer"`
}

// Execute registers an engine without a model in the store and runs it.
func (c *hostingEngineCommand) Execute([]string) error {
	engine := hosting.NewEngine(hosting.EngineOptions{ID: c.ID, Address: c.Listen, DataCentre: c.DataCentre, EventMS: c.EventMS})
	if err := engine.RegisterAt(c.Store); err != nil {
		return err
	}
	return standin.Serve("hosting-engine", c.Listen, engine)
}

type hostingOriginCommand struct {
	Listen string `long:"listen" required:"true" description:"address to listen on, IP:port"`
}

// Execute runs the stand-in for the hosting platform's origin of weights.
func (c *hostingOriginCommand) Execute([]string) error {
	origin := hosting.NewOrigin()
	return standin.Serve("hosting-origin", c.Listen, withFaults(origin,
		func() any { return origin.Faults() },
		func(body io.Reader) error {
			var f hosting.OriginFaults
			if err := standin.DecodeStrict(body, &f); err != nil {
				return err
			}
			origin.SetFaults(f)
			return nil
		}))
}

// withFaults returns a handler for h that also serves standin.FaultsPath.
func withFaults(h http.Handler, read func() any, write func(io.Reader) error) http.Handler {
	mux := http.NewServeMux()
	standin.HandleFaults(mux, read, write)
	mux.Handle("/", h)
	return mux
}
