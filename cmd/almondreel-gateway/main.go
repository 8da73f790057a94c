// Command almondreel-gateway takes callers' requests and sends them to agents.
package main

import (
	"errors"
	"fmt"

	"github.com/jessevdk/go-flags"

	"almondreel.example/almondreel/internal/daemon"
	"almondreel.example/almondreel/internal/duty"
	"almondreel.example/almondreel/internal/settings"
)

const (
	program     = "almondreel-gateway"
	exitFailure = 1
	exitUsage   = 2
)

type options struct {
	Settings string `long:"settings" required:"true" value-name:"FILE" description:"YAML settings of the gateway"`
}

func main() {
	var o options
	if _, err := flags.NewParser(&o, flags.HelpFlag|flags.PassDoubleDash).Parse(); err != nil {
		var usage *flags.Error
		if errors.As(err, &usage) && usage.Type == flags.ErrHelp {
			fmt.Println(usage.Message)
			return
		}
		duty.Exit(program, err, exitUsage)
	}
	s, err := settings.LoadGateway(o.Settings)
	if err != nil {
		duty.Exit(program, err, exitUsage)
	}
	if err := daemon.RunGateway(s); err != nil {
		duty.Exit(program, err, exitFailure)
	}
}
