// Command almondreel-gateway accepts requests from callers and routes them to the agents
// of backend servers.
package main

import (
	"almondreel.example/almondreel/internal/daemon"
	"almondreel.example/almondreel/internal/hosted"
	"almondreel.example/almondreel/internal/launcher"
	"almondreel.example/almondreel/internal/settings"
	"almondreel.example/almondreel/internal/signals"
)

func main() {
	launcher.Main(launcher.Daemon{Name: "almondreel-gateway", SelfHosted: run, Hosted: runHosted})
}

// run runs the gateway in self-hosted form, on one of the operators' own instances.
func run(file string, received *signals.Signals) error {
	s, err := settings.LoadGateway(file)
	if err != nil {
		return launcher.NewUsageError(err)
	}
	return daemon.RunGateway(s, received)
}

// runHosted runs the gateway on the hosting platform.
func runHosted(file string, received *signals.Signals) error {
	s, err := settings.LoadHostedGateway(file)
	if err != nil {
		return launcher.NewUsageError(err)
	}
	return hosted.RunGateway(s, file, received)
}
