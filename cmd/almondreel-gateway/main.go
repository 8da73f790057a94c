// Command almondreel-gateway takes callers' requests and sends them to agents.
package main

import (
	"os"

	"almondreel.example/almondreel/internal/daemon"
	"almondreel.example/almondreel/internal/hosted"
	"almondreel.example/almondreel/internal/program"
	"almondreel.example/almondreel/internal/settings"
)

func main() {
	program.Main(program.Program{Name: "almondreel-gateway", Own: own, Hosted: hosting})
}

func own(file string) error {
	s, err := settings.LoadGateway(file)
	if err != nil {
		return program.NewUsage(err)
	}
	return daemon.RunGateway(s)
}

func hosting(file string, hangups <-chan os.Signal) error {
	s, err := settings.LoadHostedGateway(file)
	if err != nil {
		return program.NewUsage(err)
	}
	return hosted.RunGateway(s, file, hangups)
}
