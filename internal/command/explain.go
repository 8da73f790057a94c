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
	line *line
}

// Execute prints the lines of all logs about the request, in the order of their
// times, and what its gateways learned in the two seconds before.
func (c *explainRequest) Execute([]string) error {
	var logs []explain.Log
	for _, name := range c.Position.Files {
		file, err := os.Open(name)
		if err != nil {
			return &exit{ExitBadInput, fmt.Sprintf("open log: %v", err)}
		}
		defer file.Close()
		logs = append(logs, explain.Log{Name: name, Reader: file})
	}
	lines, err := explain.Request(c.Position.ID, logs)
	if err != nil {
		return &exit{ExitFailure, fmt.Sprintf("explain %s: %v", c.Position.ID, err)}
	}
	for _, l := range lines {
		mark := " "
		if l.Own {
			mark = ">"
		}
		fmt.Fprintf(c.line.out, "%s %s: %s\n", mark, l.Log, l.Text)
	}
	return nil
}
