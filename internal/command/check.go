package command

import (
	"fmt"

	"almondreel.example/almondreel/internal/settings"
)

type check struct {
	Position struct {
		File string `positional-arg-name:"FILE" description:"settings of a gateway, an agent or an operator"`
	} `positional-args:"yes" required:"yes"`
	invocation *invocation
}

// Execute validates the file as the program that it is for does at startup.
func (c *check) Execute([]string) error {
	program, err := settings.Check(c.Position.File)
	if err != nil {
		return &exitError{ExitBadInput, err.Error()}
	}
	fmt.Fprintf(c.invocation.out, "%s: valid settings of %s\n", c.Position.File, program)
	return nil
}
