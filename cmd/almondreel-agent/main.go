// Command almondreel-agent runs beside a backend server: it is the only way to
// it, fetches and hands over weights, and orders its engine to load them.
package main

import (
	"os"

	"almondreel.example/almondreel/internal/daemon"
	"almondreel.example/almondreel/internal/hosted"
	"almondreel.example/almondreel/internal/program"
	"almondreel.example/almondreel/internal/settings"
)

func main() {
	program.Main(program.Program{Name: "almondreel-agent", Own: own, Hosted: hosting})
}

func own(file string) error {
	s, err := settings.LoadAgent(file)
	if err != nil {
		return program.NewUsage(err)
	}
	return daemon.RunAgent(s)
}

func hosting(file string, hangups <-chan os.Signal) error {
	s, err := settings.LoadHostedAgent(file)
	if err != nil {
		return program.NewUsage(err)
	}
	return hosted.RunAgent(s, file, hangups)
}
