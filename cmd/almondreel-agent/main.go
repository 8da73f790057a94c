// Command almondreel-agent runs beside a backend server and proxies all requests to it.
// It downloads weights, serves them to other agents and orders its engine to load them.
package main

import (
	"almondreel.example/almondreel/internal/daemon"
	"almondreel.example/almondreel/internal/hosted"
	"almondreel.example/almondreel/internal/launcher"
	"almondreel.example/almondreel/internal/settings"
	"almondreel.example/almondreel/internal/signals"
)

func main() {
	launcher.Main(launcher.Daemon{Name: "almondreel-agent", SelfHosted: run, Hosted: runHosted})
}

// run runs the agent in self-hosted form, on one of the operators' own instances.
func run(file string, received *signals.Signals) error {
	s, err := settings.LoadAgent(file)
	if err != nil {
		return launcher.NewUsageError(err)
	}
	return daemon.RunAgent(s, received)
}

// runHosted runs the agent on the hosting platform.
func runHosted(file string, received *signals.Signals) error {
	s, err := settings.LoadHostedAgent(file)
	if err != nil {
		return launcher.NewUsageError(err)
	}
	return hosted.RunAgent(s, file, received)
}
