// Package program is the command line that the daemons share: one settings file,
// which says in which form the program runs.
package program

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"almondreel.example/almondreel/internal/duty"
	"almondreel.example/almondreel/internal/settings"
)

// Exit codes.
const (
	exitFailure = 1
	exitUsage   = 2
)

// Program is a daemon in its two forms.
type Program struct {
	Name string
	// Own runs on the operators' own instances.
	Own func(file string) error
	// Hosted runs on a hosting platform, which asks with SIGHUP that the
	// settings are read again.
	Hosted func(file string, hangups <-chan os.Signal) error
}

// Usage is an error in what the program was given.
type Usage struct{ error }

// NewUsage marks an error as one in what the program was given.
func NewUsage(err error) error { return Usage{err} }

type options struct {
	Settings string `long:"settings" required:"true" value-name:"FILE" description:"YAML settings of the program"`
}

// Main runs the program and ends the process if it fails.
func Main(p Program) {
	// A SIGHUP ends a process that does not ask for it, and may come at once.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	var o options
	if _, err := flags.NewParser(&o, flags.HelpFlag|flags.PassDoubleDash).Parse(); err != nil {
		var wrong *flags.Error
		if errors.As(err, &wrong) && wrong.Type == flags.ErrHelp {
			fmt.Println(wrong.Message)
			return
		}
		duty.Exit(p.Name, err, exitUsage)
	}
	if err := p.run(o.Settings, hangups); err != nil {
		code := exitFailure
		if errors.As(err, new(Usage)) {
			code = exitUsage
		}
		duty.Exit(p.Name, err, code)
	}
}

// run starts the program in the form that its settings are for.
func (p Program) run(file string, hangups chan os.Signal) error {
	hosting, err := settings.IsHosted(file)
	if err != nil {
		return NewUsage(err)
	}
	if hosting {
		return p.Hosted(file, hangups)
	}
	signal.Stop(hangups)
	return p.Own(file)
}
