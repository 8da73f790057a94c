// Command almondreel-gateway accepts requests from callers and routes them to the agents
// of backend servers.
package main

import (
	"os"

	"almondreel.example/almondreel/internal/daemon"
	"almondreel.example/almondreel/internal/hosted"
	"almondreel.example/almondreel/internal/launcher"
	"almondreel.example/almondreel/internal/settings"
)

func main() {
	launcher.Main(launcher.Daemon{Name: "almondreel-gateway", SelfHosted: run, Hosted: runHosted})
}

// run runs the gateway in self-hosted form, on one of the operators' own instances.
func run(file string) error {
	s, err := settings.LoadGateway(file)
	if err != nil {
		return launcher.NewUsageError(err)
	}
	return daemon.RunGateway(s)
}

// runHosted runs the gateway on the hosting platform, which sends SIGHUP to have the
// settings read again. hangups receives these signals.
func runHosted(file string, hangups <-chan os.Signal) error {
	s, err := settings.LoadHostedGateway(file)
	if err != nil {
		return launcher.NewUsageError(err)
	}
	return hosted.RunGateway(s, file, hangups)
}
