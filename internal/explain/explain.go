// Package explain collects the log lines about one request from the logs of several
// processes: the lines that name the request, and the lines about no request that the
// same processes logged shortly before.
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

// ErrNoLine is returned when no log line names the request.
var ErrNoLine = errors.New("no log line names the request; the log may have dropped it, see the metric LogLinesLeftOut")

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
	if len(out) == 0 {
		return nil, ErrNoLine
	}
	slices.SortStableFunc(out, func(a, b Line) int { return a.writtenAt.Compare(b.writtenAt) })
	return out, nil
}

// read returns the lines of one log that name the request, each after the lines of
// the preceding contextWindow that name no request.
func read(id string, l Log) ([]Line, error) {
	requestField := fmt.Sprintf("Request=%q", id)
	var out, contextLines []Line
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
		line := Line{Log: l.Name, Text: text, NamesRequest: strings.Contains(text, requestField), writtenAt: at}
		switch {
		case line.NamesRequest:
			out = append(append(out, recent(contextLines, at)...), line)
			contextLines = nil
		case !strings.Contains(text, "Request="):
			contextLines = append(recent(contextLines, at), line)
		}
	}
	return out, scanner.Err()
}

// recent returns the lines that are at most contextWindow older than now. It reuses
// the array of lines.
func recent(lines []Line, now time.Time) []Line {
	return slices.DeleteFunc(lines, func(l Line) bool { return now.Sub(l.writtenAt) > contextWindow })
}
