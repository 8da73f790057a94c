// Package explain collects the log lines about one request from the logs of several
// processes: the lines that name the request, and the lines about no request that the
// same processes logged shortly before. It also collects the lines about one backend
// server, those of the agent that loads its weights included.
package explain

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strings"
	"time"
)

const (
	// contextWindow is the age up to which a line about no request can explain a
	// decision about one: a gateway acts on cached state for this long while the
	// store is unavailable.
	contextWindow = 2 * time.Second
	// maxLineBytes limits the length of a log line.
	maxLineBytes = 1 << 20
	// timestampLayout is the layout of the time in a line's header, which has no year.
	timestampLayout = "0102 15:04:05.000000"
)

// logHeader matches the start of a klog header: severity, date and time. It may occur
// anywhere in a line, because a log collector may prepend its own prefix.
var logHeader = regexp.MustCompile(`[IWEF](\d{4} \d{2}:\d{2}:\d{2}\.\d{6})\s`)

// ErrNoLine is returned when no log line names the request or the backend server.
var ErrNoLine = errors.New("no log line names it; the log may have dropped it, see the metric LogLinesLeftOut")

// Log is the log of one process.
type Log struct {
	Name   string
	Reader io.Reader
}

// Line is a log line about the request or its context.
type Line struct {
	Log          string
	Text         string
	NamesRequest bool // false: the line is context, logged before a line that does
	writtenAt    time.Time
}

// Request returns the lines about the request id and their context, sorted by time.
// It assumes that the clocks of the processes agree. The error is ErrNoLine if no log
// names the request.
func Request(id string, logs []Log) ([]Line, error) {
	var out []Line
	for _, l := range logs {
		lines, err := read(id, l)
		if err != nil {
			return nil, fmt.Errorf("read log %s: %w", l.Name, err)
		}
		out = append(out, lines...)
	}
	return sorted(out)
}

// sorted returns lines sorted by time, or ErrNoLine if there are none.
func sorted(lines []Line) ([]Line, error) {
	if len(lines) == 0 {
		return nil, ErrNoLine
	}
	slices.SortStableFunc(lines, func(a, b Line) int { return a.writtenAt.Compare(b.writtenAt) })
	return lines, nil
}

// fieldPattern matches the fields by which lines name a backend server: gateways name its
// ID and address, agents the address of their engine.
var fieldPattern = regexp.MustCompile(` (Request|Server|Address|Engine)="([^"]*)"`)

// Server returns the lines about the backend server id that name no request, sorted by
// time: those that name id, and those of agents whose engine has the server's address.
// The address comes from lines that name it beside id. The error is ErrNoLine if no log
// names the server.
func Server(id string, logs []Log) ([]Line, error) {
	var named []Line
	addresses := map[string]bool{}
	byEngine := map[string][]Line{}
	for _, l := range logs {
		err := scan(l, func(line Line) {
			fields := map[string]string{}
			for _, f := range fieldPattern.FindAllStringSubmatch(line.Text, -1) {
				fields[f[1]] = f[2]
			}
			_, namesRequest := fields["Request"]
			switch engine := fields["Engine"]; {
			case namesRequest:
			case fields["Server"] == id:
				named = append(named, line)
				addresses[fields["Address"]] = true
			case engine != "":
				byEngine[engine] = append(byEngine[engine], line)
			}
		})
		if err != nil {
			return nil, fmt.Errorf("read log %s: %w", l.Name, err)
		}
	}
	for address := range addresses {
		named = append(named, byEngine[address]...)
	}
	return sorted(named)
}

// read returns the lines of one log that name the request, each after the lines of
// the preceding contextWindow that name no request.
func read(id string, l Log) ([]Line, error) {
	requestField := fmt.Sprintf("Request=%q", id)
	var out, contextLines []Line
	err := scan(l, func(line Line) {
		line.NamesRequest = strings.Contains(line.Text, requestField)
		switch {
		case line.NamesRequest:
			out = append(append(out, recent(contextLines, line.writtenAt)...), line)
			contextLines = nil
		case !strings.Contains(line.Text, "Request="):
			contextLines = append(recent(contextLines, line.writtenAt), line)
		}
	})
	return out, err
}

// scan calls add for each line of a log that has a header.
func scan(l Log, add func(Line)) error {
	scanner := bufio.NewScanner(l.Reader)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		text := scanner.Text()
		match := logHeader.FindStringSubmatch(text)
		if match == nil {
			continue // not a klog line, or the continuation of one
		}
		at, err := time.Parse(timestampLayout, match[1])
		if err != nil {
			continue // not a valid date
		}
		add(Line{Log: l.Name, Text: text, writtenAt: at})
	}
	return scanner.Err()
}

// recent returns the lines that are at most contextWindow older than now. It reuses
// the array of lines.
func recent(lines []Line, now time.Time) []Line {
	return slices.DeleteFunc(lines, func(l Line) bool { return now.Sub(l.writtenAt) > contextWindow })
}
