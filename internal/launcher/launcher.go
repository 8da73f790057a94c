// Package launcher implements the command line that the gateway and the agent share.
// It takes one settings file, and starts the daemon in self-hosted form or for a
// hosting platform, depending on the file.
package launcher

import (
	"errors"
	"fmt"

	"github.com/jessevdk/go-flags"

	"almondreel.example/almondreel/internal/settings"
	"almondreel.example/almondreel/internal/signals"
	"almondreel.example/almondreel/internal/supervisor"
)

// Exit codes.
const (
	exitFailure = 1
	exitUsage   = 2
)

// Daemon is a program that can run self-hosted or on a hosting platform. Both functions
// run until the daemon stops; file is the path of the settings file.
type Daemon struct {
	Name string
	// SelfHosted runs the daemon on the operators' own instances.
	SelfHosted func(file string, s *signals.Signals) error
	// Hosted runs the daemon on a hosting platform.
	Hosted func(file string, s *signals.Signals) error
}

// UsageError is an error in the command line or the settings file. Main exits with
// exitUsage for it.
type UsageError struct{ error }

// NewUsageError wraps err as a UsageError.
func NewUsageError(err error) error { return UsageError{err} }

type options struct {
	Settings string `long:"settings" required:"true" value-name:"FILE" description:"YAML settings of the program"`
}

// Main parses the command line and runs the daemon. It exits the process with a
// non-zero code if that fails.
func Main(d Daemon) {
	s := signals.Catch()
	var o options
	if _, err := flags.NewParser(&o, flags.HelpFlag|flags.PassDoubleDash).Parse(); err != nil {
		var flagsErr *flags.Error
		if errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp {
			fmt.Println(flagsErr.Message)
			return
		}
		supervisor.Exit(d.Name, err, exitUsage)
	}
	if err := d.run(o.Settings, s); err != nil {
		code := exitFailure
		if errors.As(err, new(UsageError)) {
			code = exitUsage
		}
		supervisor.Exit(d.Name, err, code)
	}
}

// run starts the daemon in the form that its settings file is for.
func (d Daemon) run(file string, s *signals.Signals) error {
	hosting, err := settings.IsHosted(file)
	if err != nil {
		return NewUsageError(err)
	}
	if hosting {
		return d.Hosted(file, s)
	}
	return d.SelfHosted(file, s)
}
