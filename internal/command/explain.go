package command

import (
	"fmt"
	"os"

	"almondreel.example/almondreel/internal/explain"
)

type explainRequest struct {
	Position struct {
		ID    string   `positional-arg-name:"ID" description:"identifier of the caller's attempt, or of a backend server with --server"`
		Files []string `positional-arg-name:"FILE" required:"1" description:"logs of gateways and agents"`
	} `positional-args:"yes" required:"yes"`
	Server     bool `long:"server" description:"ID names a backend server: show what gateways count it as serving and what its agent loaded"`
	invocation *invocation
}

// Execute prints the lines of all logs that name the request, marked >, and the lines
// that the same processes logged in the two seconds before, in order of time. For a
// backend server it prints the lines about it and those of its agent.
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
	find := explain.Request
	if c.Server {
		find = explain.Server
	}
	lines, err := find(c.Position.ID, logs)
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
