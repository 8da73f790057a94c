package command

import (
	"fmt"
	"os"

	"almondreel.example/almondreel/internal/explain"
)

type explainRequest struct {
	Position struct {
		ID    string   `positional-arg-name:"ID" description:"identifier of the caller's attempt"`
		Files []string `positional-arg-name:"FILE" required:"1" description:"logs of gateways and agents"`
	} `positional-args:"yes" required:"yes"`
	invocation *invocation
}

// Execute prints the lines of all logs that name the request, marked >, and the lines
// that the same processes logged in the two seconds before, in order of time.
func (c *explainRequest) Execute([]string) error {
	var logs []explain.Log
	for _, name := range c.Position.Files {
		file, err := os.Open(name)
		if err != nil {
			return &exitError{ExitBadInput, fmt.Sprintf("open log: %v", err)}
		}
		defer file.Close()
		logs = append(logs, explain.Log{Name: name, Reader: file})
	}
	lines, err := explain.Request(c.Position.ID, logs)
	if err != nil {
		return &exitError{ExitFailure, fmt.Sprintf("explain %s: %v", c.Position.ID, err)}
	}
	for _, l := range lines {
		mark := " "
		if l.NamesRequest {
			mark = ">"
		}
		fmt.Fprintf(c.invocation.out, "%s %s: %s\n", mark, l.Log, l.Text)
	}
	return nil
}
