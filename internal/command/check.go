package command

import (
	"fmt"

	"almondreel.example/almondreel/internal/settings"
)

type check struct {
	Position struct {
		File string `positional-arg-name:"FILE" description:"settings of a gateway, an agent or an operator"`
	} `positional-args:"yes" required:"yes"`
	line *line
}

// Execute checks the file as the program that it is for would.
func (c *check) Execute([]string) error {
	program, err := settings.Check(c.Position.File)
	if err != nil {
		return &exit{ExitBadInput, err.Error()}
	}
	fmt.Fprintf(c.line.out, "%s: settings of %s are sound\n", c.Position.File, program)
	return nil
}
