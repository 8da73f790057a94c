// Command almondreel-agent runs beside a backend server: it is the only way to
// it, fetches and hands over weights, and orders its engine to load them.
package main

import (
	"errors"
	"os"

	"github.com/jessevdk/go-flags"

	"almondreel.example/almondreel/internal/daemon"
	"almondreel.example/almondreel/internal/duty"
	"almondreel.example/almondreel/internal/hosted"
	"almondreel.example/almondreel/internal/settings"
)

const (
	program     = "almondreel-agent"
	exitFailure = 1
	exitUsage   = 2
)

type options struct {
	Settings string `long:"settings" required:"true" value-name:"FILE" description:"YAML settings file"`
}

func main() {
	var o options
	_, err := flags.NewParser(&o, flags.HelpFlag|flags.PassDoubleDash).Parse()
	var wrong *flags.Error
	if errors.As(err, &wrong) && wrong.Type == flags.ErrHelp {
		_, _ = os.Stdout.WriteString(wrong.Message + "\n")
		return
	}
	if err != nil {
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
		s, err := settings.LoadHostedAgent(file)
		if err != nil {
			return usage{err}
		}
		return hosted.RunAgent(s, file)
	}
	s, err := settings.LoadAgent(file)
	if err != nil {
		return usage{err}
	}
	return daemon.RunAgent(s)
}
