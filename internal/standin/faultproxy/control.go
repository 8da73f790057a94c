// Package faultproxy forwards TCP connections and injects faults: delay, limited
// rate, stalls, cuts, refused connections and half-open connections. Faults are
// set for each route and direction and may change at any time.
package faultproxy

import (
	"fmt"
	"io"
	"net/http"

	"almondreel.example/almondreel/internal/standin"
)

// RouteFaults are a route's faults as JSON.
type RouteFaults struct {
	Listen   string `json:"Listen"` // the route's address
	Target   string `json:"Target,omitempty"`
	Refuse   bool   `json:"Refuse"`
	ToTarget Switch `json:"ToTarget"`
	ToCaller Switch `json:"ToCaller"`
}

// Control sets the faults of several routes over HTTP: PUT /faults takes a list
// of RouteFaults and leaves the routes alone that are not in it.
type Control struct {
	mux    *http.ServeMux
	routes []*Route
}

// NewControl returns the control of routes.
func NewControl(routes []*Route) *Control {
	c := &Control{mux: http.NewServeMux(), routes: routes}
	standin.HandleFaults(c.mux, c.read, c.write)
	return c
}

// ServeHTTP answers standin.FaultsPath.
func (c *Control) ServeHTTP(w http.ResponseWriter, r *http.Request) { c.mux.ServeHTTP(w, r) }

func (c *Control) read() any {
	all := []RouteFaults{}
	for _, r := range c.routes {
		f := r.Faults()
		all = append(all, RouteFaults{
			Listen:   r.Address(),
			Target:   r.Target(),
			Refuse:   f.Refuse,
			ToTarget: NewSwitch(f.ToTarget),
			ToCaller: NewSwitch(f.ToCaller),
		})
	}
	return all
}

func (c *Control) write(body io.Reader) error {
	var all []RouteFaults
	if err := standin.DecodeStrict(body, &all); err != nil {
		return err
	}
	for _, f := range all {
		if err := c.set(f); err != nil {
			return fmt.Errorf("route %s: %w", f.Listen, err)
		}
	}
	return nil
}

func (c *Control) set(f RouteFaults) error {
	toTarget, err := f.ToTarget.Decode()
	if err != nil {
		return err
	}
	toCaller, err := f.ToCaller.Decode()
	if err != nil {
		return err
	}
	for _, r := range c.routes {
		if r.Address() == f.Listen {
			return r.Set(Faults{Refuse: f.Refuse, ToTarget: toTarget, ToCaller: toCaller})
		}
	}
	return fmt.Errorf("no route listens there")
}
