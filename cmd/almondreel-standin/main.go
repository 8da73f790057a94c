// Command almondreel-standin runs one stand-in: a small fake of a platform service or of
// a backend server. Tests and the demo use it.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
)

// commands are the subcommands, one for each stand-in, with their flags.
type commands struct {
	Proxy     proxyCommand     `command:"proxy" description:"TCP proxy that injects faults"`
	Service   serviceCommand   `command:"service" description:"plain service with a journal of the calls it ran"`
	Instances instancesCommand `command:"instances" description:"lagging list of live and leaving instances"`
	Engine    engineCommand    `command:"engine" description:"model engine: completions, load orders and state"`
	Origin    originCommand    `command:"origin" description:"origin of weights behind one overall rate"`
	Store     storeCommand     `command:"store" description:"weight store behind one overall rate"`
	KeyValue  kvCommand        `command:"kv" description:"key-value service: compare-and-swap, leases and watches"`

	HostingStore  hostingStoreCommand  `command:"hosting-store" description:"metadata store of the hosting platform, with one configuration"`
	HostingEngine hostingEngineCommand `command:"hosting-engine" description:"model engine of the hosting platform, empty at first"`
	HostingOrigin hostingOriginCommand `command:"hosting-origin" description:"origin of weights of the hosting platform"`
}

// Exit codes.
const (
	exitFailure = 1
	exitUsage   = 2
	exitCrash   = 3
)

func main() {
	_, err := flags.NewParser(&commands{}, flags.HelpFlag|flags.PassDoubleDash).Parse()
	if err == nil {
		return
	}
	var flagsErr *flags.Error
	if !errors.As(err, &flagsErr) {
		fmt.Fprintf(os.Stderr, "almondreel-standin: %v\n", err)
		os.Exit(exitFailure)
	}
	if flagsErr.Type == flags.ErrHelp {
		fmt.Println(flagsErr.Message)
		return
	}
	fmt.Fprintf(os.Stderr, "almondreel-standin: %v\n", err)
	os.Exit(exitUsage)
}
