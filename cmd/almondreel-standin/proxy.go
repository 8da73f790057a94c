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
	Routes  []routeFlag `long:"route" value-name:"LISTEN=TARGET" description:"a route; repeatable"`
}

// routeFlag is one value of --route.
type routeFlag struct {
	listen, target string
}

// UnmarshalFlag parses LISTEN=TARGET.
func (f *routeFlag) UnmarshalFlag(value string) error {
	listen, target, found := strings.Cut(value, "=")
	if !found || listen == "" || target == "" {
		return fmt.Errorf("invalid value %q, want LISTEN=TARGET", value)
	}
	f.listen, f.target = listen, target
	return nil
}

// Execute runs the fault proxy until a signal.
func (c *proxyCommand) Execute([]string) error {
	routeFlags := c.Routes
	if c.Listen != "" && c.Target != "" {
		routeFlags = append(routeFlags, routeFlag{listen: c.Listen, target: c.Target})
	}
	if len(routeFlags) == 0 {
		return &flags.Error{Type: flags.ErrRequired, Message: "expected a --route LISTEN=TARGET, or --listen and --target"}
	}
	var routes []*faultproxy.Route
	for _, p := range routeFlags {
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
