//go:build review

package main

import (
	"fmt"
	"os"
	"sort"
	"strings"
	"sync"
	"time"
)

// record collects what was sent, answered and run. It is safe for concurrent use.
type record struct {
	began time.Time

	mu    sync.Mutex
	lines []line
}

type line struct {
	at   time.Time
	text string
}

func (r *record) add(at time.Time, kind, format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, line{at, fmt.Sprintf("%-7s ", kind) + fmt.Sprintf(format, values...)})
}

// note adds a step of the case, and prints it.
func (r *record) note(format string, values ...any) {
	now := time.Now()
	r.add(now, "step", format, values...)
	fmt.Printf("%7.3f s  %s\n", now.Sub(r.began).Seconds(), fmt.Sprintf(format, values...))
}

func (r *record) write(file string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	sort.SliceStable(r.lines, func(a, b int) bool { return r.lines[a].at.Before(r.lines[b].at) })
	var text strings.Builder
	for _, l := range r.lines {
		fmt.Fprintf(&text, "%8.3f  %s\n", l.at.Sub(r.began).Seconds(), l.text)
	}
	return os.WriteFile(file, []byte(text.String()), 0o644)
}

// fifthCrash returns the time of the fifth crash of an engine, or of the last one if there
// are fewer; zero if there is none.
func (r *record) fifthCrash() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	var crashes []time.Time
	for _, l := range r.lines {
		if strings.HasPrefix(l.text, "crash ") {
			crashes = append(crashes, l.at)
		}
	}
	sort.Slice(crashes, func(a, b int) bool { return crashes[a].Before(crashes[b]) })
	if len(crashes) == 0 {
		return time.Time{}
	}
	return crashes[min(len(crashes), 5)-1]
}
