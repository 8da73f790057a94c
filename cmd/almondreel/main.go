// Command almondreel is the command line with which operators change the configuration
// and inspect a site.
package main

import (
	"os"

	"almondreel.example/almondreel/internal/command"
)

func main() {
	os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr))
}
