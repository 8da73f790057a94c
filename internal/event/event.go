// Package event writes the daemons' log lines as numbered events with fixed texts, so
// that tools can match events by number. docs/EVENTS.md lists all events.
package event

import (
	"sort"

	"k8s.io/klog/v2"
)

// Number identifies a kind of event. It stays the same in all versions of the software.
type Number int

// Entry is a kind of event with its log text.
type Entry struct {
	Number Number
	Text   string
}

// Log writes the event at level info. pairs holds alternating keys and values.
func Log(n Number, pairs ...any) {
	klog.InfoSDepth(1, texts[n], append([]any{"Event", int(n)}, pairs...)...)
}

// Fail writes the event at level error, with err. pairs holds alternating keys and
// values.
func Fail(n Number, err error, pairs ...any) {
	klog.ErrorSDepth(1, err, texts[n], append([]any{"Event", int(n)}, pairs...)...)
}

// Catalogue returns all kinds of events, sorted by number.
func Catalogue() []Entry {
	entries := make([]Entry, 0, len(texts))
	for n, text := range texts {
		entries = append(entries, Entry{Number: n, Text: text})
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].Number < entries[j].Number })
	return entries
}
