// Package event writes numbered log events. docs/EVENTS.md is their catalogue.
package event

import (
	"sort"

	"k8s.io/klog/v2"
)

// Number identifies one kind of event across versions.
type Number int

// Entry describes an event in the catalogue.
type Entry struct {
	Number Number
	Text   string
}

// Log writes the event with key-value pairs.
func Log(n Number, pairs ...any) {
	klog.InfoSDepth(1, catalogue[n], append([]any{"Event", int(n)}, pairs...)...)
}

// Fail writes the event as an error with key-value pairs.
func Fail(n Number, err error, pairs ...any) {
	klog.ErrorSDepth(1, err, catalogue[n], append([]any{"Event", int(n)}, pairs...)...)
}

// Catalogue returns all events by number.
func Catalogue() []Entry {
	entries := make([]Entry, 0, len(catalogue))
	for n, text := range catalogue {
		entries = append(entries, Entry{Number: n, Text: text})
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].Number < entries[j].Number })
	return entries
}
