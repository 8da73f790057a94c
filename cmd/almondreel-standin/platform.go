package main

import (
	"almondreel.example/almondreel/internal/standin"
	standininstances "almondreel.example/almondreel/internal/standin/instances"
	standinkv "almondreel.example/almondreel/internal/standin/kv"
)

type kvCommand struct {
	Listen          string `long:"listen" required:"true" description:"address to listen on, IP:port"`
	WritesPerSecond int    `long:"writes-per-second" description:"writes answered each second; 0: no limit"`
	ReadsPerSecond  int    `long:"reads-per-second" description:"reads and watches answered each second; 0: no limit"`
}

// Execute runs the stand-in key-value service until a signal.
func (c *kvCommand) Execute([]string) error {
	options := standinkv.Options{WritesPerSecond: c.WritesPerSecond, ReadsPerSecond: c.ReadsPerSecond}
	return standin.Serve("kv", c.Listen, standinkv.New(options))
}

type instancesCommand struct {
	Listen string `long:"listen" required:"true" description:"address to listen on, IP:port"`
	Lag    int    `long:"lag-ms" description:"milliseconds until a replaced list is shown"`
}

// Execute runs the stand-in instance list until a signal.
func (c *instancesCommand) Execute([]string) error {
	return standin.Serve("instances", c.Listen, standininstances.New(standininstances.Options{LagMilliseconds: c.Lag}))
}
