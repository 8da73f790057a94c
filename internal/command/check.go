package command

import (
	"fmt"
	"os"

	"gopkg.in/yaml.v3"

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
	program, err := checkFile(c.Position.File)
	if err != nil {
		return &exit{ExitBadInput, err.Error()}
	}
	fmt.Fprintf(c.line.out, "%s: settings of %s are sound\n", c.Position.File, program)
	return nil
}

// checkFile tells by the file's keys which program it is for.
func checkFile(file string) (string, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return "", err
	}
	var keys map[string]any
	if err := yaml.Unmarshal(text, &keys); err != nil {
		return "", fmt.Errorf("%s: %w", file, err)
	}
	switch {
	case has(keys, "CallerListen") || has(keys, "ControlListen"):
		_, err = settings.LoadGateway(file)
		return "almondreel-gateway", err
	case has(keys, "Backend") || has(keys, "Listen"):
		_, err = settings.LoadAgent(file)
		return "almondreel-agent", err
	case has(keys, "Operator") || has(keys, "Gateways"):
		_, err = settings.LoadOperator(file)
		return programName, err
	}
	return "", fmt.Errorf("%s: expected a key CallerListen (gateway), Backend (agent) or Operator (operator)", file)
}

func has(keys map[string]any, key string) bool {
	_, ok := keys[key]
	return ok
}
