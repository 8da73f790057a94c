package main

import (
	"fmt"
	"strings"

	"github.com/jessevdk/go-flags"

	"almondreel.example/almondreel/internal/standin"
	"almondreel.example/almondreel/internal/standin/faultproxy"
)

type proxyCommand struct {
	Control string      `long:"control" required:"true" description:"address of PUT and GET /faults, IP:port"`
	Listen  string      `long:"listen" description:"address of a route, with --target"`
	Target  string      `long:"target" description:"address that the route forwards to"`
	Routes  []proxyPair `long:"route" value-name:"LISTEN=TARGET" description:"a route; repeatable"`
}

// proxyPair is the value of --route.
type proxyPair struct {
	listen, target string
}

// UnmarshalFlag parses LISTEN=TARGET.
func (p *proxyPair) UnmarshalFlag(value string) error {
	listen, target, found := strings.Cut(value, "=")
	if !found || listen == "" || target == "" {
		return fmt.Errorf("%q is not LISTEN=TARGET", value)
	}
	p.listen, p.target = listen, target
	return nil
}

// Execute forwards connections until a signal.
func (c *proxyCommand) Execute([]string) error {
	pairs := c.Routes
	if c.Listen != "" && c.Target != "" {
		pairs = append(pairs, proxyPair{listen: c.Listen, target: c.Target})
	}
	if len(pairs) == 0 {
		return &flags.Error{Type: flags.ErrRequired, Message: "expected a --route LISTEN=TARGET, or --listen and --target"}
	}
	var routes []*faultproxy.Route
	for _, p := range pairs {
		route, err := faultproxy.Start(p.listen, p.target)
		if err != nil {
			return err
		}
		defer route.Close()
		fmt.Printf("proxy %s=%s\n", route.Address(), route.Target())
		routes = append(routes, route)
	}
	return standin.Serve("proxy", c.Control, faultproxy.NewControl(routes))
}
