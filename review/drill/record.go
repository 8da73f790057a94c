//go:build review

package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file that says what was sent, answered and run.
type record struct {
	startedAt time.Time

	mu   sync.Mutex
	file *os.File
	text *bufio.Writer
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{startedAt: time.Now(), file: file, text: bufio.NewWriter(file)}, nil
}

// since returns the time from the start of the case in seconds.
func (r *record) since(at time.Time) float64 { return at.Sub(r.startedAt).Seconds() }

// add writes one line with the time.
func (r *record) add(format string, values ...any) { r.addAt(time.Now(), format, values...) }

func (r *record) addAt(at time.Time, format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.text, "%8.3f s  %s\n", r.since(at), fmt.Sprintf(format, values...))
}

// say writes one line to the record and to standard output.
func (r *record) say(format string, values ...any) {
	r.add(format, values...)
	fmt.Printf("%8.3f s  %s\n", r.since(time.Now()), fmt.Sprintf(format, values...))
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.text.Flush()
	_ = r.file.Close()
}
