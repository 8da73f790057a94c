// Command almondreel-agent runs beside a backend server: it is the only way to
// it, fetches and hands over weights, and orders its engine to load them.
package main

import (
	"errors"
	"os"

	"github.com/jessevdk/go-flags"

	"almondreel.example/almondreel/internal/daemon"
	"almondreel.example/almondreel/internal/duty"
	"almondreel.example/almondreel/internal/settings"
)

const program = "almondreel-agent"

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
		duty.Exit(program, err, 2)
	}
	s, err := settings.LoadAgent(o.Settings)
	if err != nil {
		duty.Exit(program, err, 2)
	}
	if err := daemon.RunAgent(s); err != nil {
		duty.Exit(program, err, 1)
	}
}
