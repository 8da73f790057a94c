// Package invoice computes invoices from the ledger: the requests, outcomes and
// tokens of each organisation in each class.
package invoice

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"text/tabwriter"

	"almondreel.example/almondreel/internal/kv"
	"almondreel.example/almondreel/internal/ledger"
	"almondreel.example/almondreel/internal/outcome"
)

const pageSize = 50 // ledger keys per read

// Line sums the requests of one organisation in one class.
type Line struct {
	Organisation string           `json:"Organisation"`
	Class        string           `json:"Class"`
	Requests     int64            `json:"Requests"`
	Outcomes     map[string]int64 `json:"Outcomes"` // requests by outcome
	Reasons      map[string]int64 `json:"Reasons"`  // requests by "Outcome.Reason"
	Tokens       int64            `json:"Tokens"`   // tokens that reached the callers
	Repeats      int64            `json:"Repeats"`  // recorded outcomes returned to a repeated request; not in Requests
}

// Invoice holds the lines, sorted by organisation and class.
type Invoice struct {
	Lines []Line `json:"Lines"`
}

type lineKey struct{ organisation, class string }

// Read reads the whole ledger and returns the invoice of all organisations.
func Read(ctx context.Context, k *kv.Client) (Invoice, error) {
	lines := map[lineKey]*Line{}
	after := ""
	for {
		entries, err := k.List(ctx, kv.List{Prefix: ledger.Prefix, After: after, Limit: pageSize})
		if err != nil {
			return Invoice{}, err
		}
		for _, e := range entries {
			if err := addBatch(lines, e); err != nil {
				return Invoice{}, err
			}
			after = e.Key
		}
		if len(entries) < pageSize {
			return sortLines(lines), nil
		}
	}
}

func addBatch(lines map[lineKey]*Line, e kv.Entry) error {
	var b ledger.Batch
	if err := json.Unmarshal(e.Value, &b); err != nil {
		return fmt.Errorf("decode ledger key %s: %w", e.Key, err)
	}
	for _, r := range b.Records {
		lineFor(lines, r.Organisation, r.Class).addRecord(r)
	}
	for _, total := range b.Totals {
		lineFor(lines, total.Organisation, total.Class).add(total.Outcome, total.Reason, total.Requests, total.Tokens)
	}
	return nil
}

func lineFor(lines map[lineKey]*Line, organisation, class string) *Line {
	key := lineKey{organisation, class}
	l, ok := lines[key]
	if !ok {
		l = &Line{Organisation: organisation, Class: class, Outcomes: map[string]int64{}, Reasons: map[string]int64{}}
		lines[key] = l
	}
	return l
}

func (l *Line) addRecord(r outcome.Record) {
	if r.Repeat {
		l.Repeats++
		return
	}
	l.add(r.Outcome, r.Reason, 1, int64(r.Tokens))
}

func (l *Line) add(name string, reason outcome.Reason, requests, tokens int64) {
	l.Requests += requests
	l.Tokens += tokens
	l.Outcomes[name] += requests
	if reason != "" {
		l.Reasons[name+"."+string(reason)] += requests
	}
}

func sortLines(lines map[lineKey]*Line) Invoice {
	out := Invoice{Lines: []Line{}}
	for _, l := range lines {
		out.Lines = append(out.Lines, *l)
	}
	sort.Slice(out.Lines, func(i, j int) bool {
		a, b := out.Lines[i], out.Lines[j]
		if a.Organisation != b.Organisation {
			return a.Organisation < b.Organisation
		}
		return a.Class < b.Class
	})
	return out
}

// For returns the lines of one organisation; an empty name returns all.
func (i Invoice) For(organisation string) Invoice {
	if organisation == "" {
		return i
	}
	out := Invoice{Lines: []Line{}}
	for _, l := range i.Lines {
		if l.Organisation == organisation {
			out.Lines = append(out.Lines, l)
		}
	}
	return out
}

// Write writes the invoice as a table.
func (i Invoice) Write(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "ORGANISATION\tCLASS\tREQUESTS\tANSWERED\tREFUSED (NOT RUN)\tFAILED\tUNKNOWN\tCANCELLED\tTOKENS")
	for _, l := range i.Lines {
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\n", l.Organisation, l.Class, l.Requests,
			l.Outcomes[outcome.NameAnswered], l.Outcomes[outcome.NameRefused], l.Outcomes[outcome.NameFailed],
			l.Outcomes[outcome.NameUnknown], l.Outcomes[outcome.NameCancelled], l.Tokens)
	}
	return t.Flush()
}
