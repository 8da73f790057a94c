// Package faultproxy forwards TCP connections and injects faults: delay, rate
// limits, stalls, resets, refused connections and half-open connections. Faults are
// set per route and direction and may change at any time.
package faultproxy

import (
	"fmt"
	"io"
	"net/http"

	"almondreel.example/almondreel/internal/standin"
)

// RouteFaults is the JSON form of a route's faults.
type RouteFaults struct {
	Listen   string    `json:"Listen"` // address that the route listens on
	Target   string    `json:"Target,omitempty"`
	Refuse   bool      `json:"Refuse"`
	ToTarget FaultSpec `json:"ToTarget"`
	ToCaller FaultSpec `json:"ToCaller"`
}

// Control is the HTTP interface to the faults of several routes. PUT /faults takes
// a list of RouteFaults; routes that are not in the list keep their faults.
type Control struct {
	mux    *http.ServeMux
	routes []*Route
}

// NewControl returns the HTTP interface of routes.
func NewControl(routes []*Route) *Control {
	c := &Control{mux: http.NewServeMux(), routes: routes}
	standin.HandleFaults(c.mux, c.read, c.write)
	return c
}

// ServeHTTP handles requests to standin.FaultsPath.
func (c *Control) ServeHTTP(w http.ResponseWriter, r *http.Request) { c.mux.ServeHTTP(w, r) }

func (c *Control) read() any {
	list := []RouteFaults{}
	for _, r := range c.routes {
		f := r.Faults()
		list = append(list, RouteFaults{
			Listen:   r.Address(),
			Target:   r.Target(),
			Refuse:   f.Refuse,
			ToTarget: NewFaultSpec(f.ToTarget),
			ToCaller: NewFaultSpec(f.ToCaller),
		})
	}
	return list
}

func (c *Control) write(body io.Reader) error {
	var list []RouteFaults
	if err := standin.DecodeStrict(body, &list); err != nil {
		return err
	}
	for _, f := range list {
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
	return fmt.Errorf("no route with this listen address")
}
