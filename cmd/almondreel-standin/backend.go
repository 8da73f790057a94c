package main

import (
	"fmt"
	"os"

	"almondreel.example/almondreel/internal/standin"
	standinengine "almondreel.example/almondreel/internal/standin/engine"
	standinservice "almondreel.example/almondreel/internal/standin/service"
)

type engineCommand struct {
	Listen        string `long:"listen" required:"true" description:"address to listen on, IP:port"`
	FirstToken    int    `long:"first-token-ms" default:"20" description:"milliseconds to the first token with nothing cached"`
	BetweenTokens int    `long:"between-tokens-ms" default:"5" description:"milliseconds between tokens"`
	Slots         int    `long:"slots" default:"8" description:"requests batched at most"`
	LoadLag       int    `long:"load-lag-ms" description:"age of the load report in milliseconds"`
	Load          int    `long:"load-ms" description:"milliseconds between checked weights and serving them"`
	ChecksOrders  bool   `long:"checks-orders" description:"refuse orders with an older fencing number"`
	CrashMarker   string `long:"crash-marker" description:"a prompt with this text ends the process"`
}

// Execute runs the stand-in engine until a signal or a crash.
func (c *engineCommand) Execute([]string) error {
	server := standinengine.New(standinengine.Options{
		FirstTokenMilliseconds:    c.FirstToken,
		BetweenTokensMilliseconds: c.BetweenTokens,
		Slots:                     c.Slots,
		LoadLagMilliseconds:       c.LoadLag,
		LoadMilliseconds:          c.Load,
		ChecksOrders:              c.ChecksOrders,
		CrashMarker:               c.CrashMarker,
		Crash:                     crash,
	})
	return standin.Serve("engine", c.Listen, server)
}

func crash() {
	fmt.Fprintln(os.Stderr, "almondreel-standin: a request with the crash marker crashed the backend server")
	os.Exit(exitCrash)
}

type serviceCommand struct {
	Listen      string `long:"listen" required:"true" description:"address to listen on, IP:port"`
	Answer      int    `long:"answer-ms" default:"10" description:"milliseconds that a call takes"`
	CrashMarker string `long:"crash-marker" description:"a body with this text ends the process"`
}

// Execute runs the stand-in plain service until a signal or a crash.
func (c *serviceCommand) Execute([]string) error {
	server := standinservice.New(standinservice.Options{
		AnswerMilliseconds: c.Answer,
		CrashMarker:        c.CrashMarker,
		Crash:              crash,
	})
	return standin.Serve("service", c.Listen, server)
}
