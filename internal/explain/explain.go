// Package explain finds what the logs of several processes say of one request:
// its own lines, and what the processes that had it learned shortly before.
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
	// contextTime is how far back a belief may decide a request: the time for
	// which a gateway goes by what it knows while the store is away.
	contextTime = 2 * time.Second
	// maxLineBytes bounds a line of a log.
	maxLineBytes = 1 << 20
	// stampLayout is the time in a line's header, which has no year.
	stampLayout = "0102 15:04:05.000000"
)

// header is klog's: severity and date, time, process number and place. What
// collects the logs may have put something before it.
var header = regexp.MustCompile(`[IWEF](\d{4} \d{2}:\d{2}:\d{2}\.\d{6})\s`)

// ErrNoLine says that no log names the request.
var ErrNoLine = errors.New("no line names the request; the log may have left it out, see LogLinesLeftOut")

// Log is the log of one process.
type Log struct {
	Name   string
	Reader io.Reader
}

// Line is a line of a log that concerns the request.
type Line struct {
	Log       string
	Text      string
	Own       bool // it names the request; else it is a belief of a process that had it
	writtenAt time.Time
}

// Request returns the lines about a request, in the order in which they were
// written. The clocks of the processes are taken to agree.
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

// read keeps the beliefs of the last contextTime until a line names the request.
func read(id string, l Log) ([]Line, error) {
	own := fmt.Sprintf("Request=%q", id)
	var out, beliefs []Line
	scanner := bufio.NewScanner(l.Reader)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		text := scanner.Text()
		stamp := header.FindStringSubmatch(text)
		if stamp == nil {
			continue // another program's, or the rest of a line
		}
		at, err := time.Parse(stampLayout, stamp[1])
		if err != nil {
			continue // digits that are no date
		}
		line := Line{Log: l.Name, Text: text, Own: strings.Contains(text, own), writtenAt: at}
		switch {
		case line.Own:
			out = append(append(out, recent(beliefs, at)...), line)
			beliefs = nil
		case !strings.Contains(text, "Request="):
			beliefs = append(recent(beliefs, at), line)
		}
	}
	return out, scanner.Err()
}

// recent leaves out lines that are older than contextTime.
func recent(lines []Line, now time.Time) []Line {
	return slices.DeleteFunc(lines, func(l Line) bool { return now.Sub(l.writtenAt) > contextTime })
}
