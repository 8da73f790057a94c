// Command almondreel-gateway takes callers' requests and sends them to agents.
package main

import (
	"errors"
	"fmt"

	"github.com/jessevdk/go-flags"

	"almondreel.example/almondreel/internal/daemon"
	"almondreel.example/almondreel/internal/duty"
	"almondreel.example/almondreel/internal/hosted"
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
		var wrong *flags.Error
		if errors.As(err, &wrong) && wrong.Type == flags.ErrHelp {
			fmt.Println(wrong.Message)
			return
		}
		duty.Exit(program, err, exitUsage)
	}
	if err := run(o.Settings); err != nil {
		code := exitFailure
		if errors.As(err, new(usage)) {
			code = exitUsage
		}
		duty.Exit(program, err, code)
	}
}

// usage is an error in what the program was given.
type usage struct{ error }

// run starts the program in the form that its settings are for: on the
// operators' own instances, or on a hosting platform.
func run(file string) error {
	hosting, err := settings.IsHosted(file)
	if err != nil {
		return usage{err}
	}
	if hosting {
		s, err := settings.LoadHostedGateway(file)
		if err != nil {
			return usage{err}
		}
		return hosted.RunGateway(s, file)
	}
	s, err := settings.LoadGateway(file)
	if err != nil {
		return usage{err}
	}
	return daemon.RunGateway(s)
}
