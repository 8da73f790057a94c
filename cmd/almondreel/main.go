// Command almondreel is the operators' command line.
package main

import (
	"os"

	"almondreel.example/almondreel/internal/command"
)

func main() {
	os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr))
}
