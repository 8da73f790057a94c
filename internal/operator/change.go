package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"almondreel.example/almondreel/internal/errs"
	"almondreel.example/almondreel/internal/packed"
	"almondreel.example/almondreel/pkg/settle"
)

const (
	// MaxDocumentBytes bounds the encoded document. It is stored compressed, so
	// that it fits in a value of the key-value service with room to spare.
	MaxDocumentBytes = 1 << 20
	maxReapplied     = 32
)

// Outcome is what became of an operator's change.
type Outcome interface{ outcome() }

// Accepted says that the change is in the document and will be in force everywhere.
type Accepted struct {
	ChangeID string
	Revision uint64
	Class    Class
}

// Rejected says that the change was not made and never will be, because the
// class was changed meanwhile.
type Rejected struct {
	ChangeID    string
	Differences []string // what the other change altered
	By          Change   // the other change; zero if the document no longer remembers it
}

// Unknown says that the change may have been made or may yet be.
type Unknown struct {
	ChangeID string
	Err      error
}

// Failed says that the change was not made and never will be.
type Failed struct{ Err error }

func (Accepted) outcome() {}
func (Rejected) outcome() {}
func (Unknown) outcome()  {}
func (Failed) outcome()   {}

// BadInput reports a change that cannot be made whatever the store says.
type BadInput struct{ Reason string }

// Error says what was expected.
func (e *BadInput) Error() string { return e.Reason }

// Editor makes changes to the document in a store.
type Editor struct {
	Store    settle.Store
	Operator string
}

// Edit returns the class as it shall be. found is false when there is none yet.
type Edit func(held Class, found bool) (Class, error)

// Apply makes an edit of the class called name. It is made again on a newer
// document only if the class itself was not changed meanwhile.
func (e Editor) Apply(ctx context.Context, name string, edit Edit) Outcome {
	entry, err := settle.Fresh(ctx, e.Store)
	if err != nil {
		return Failed{err}
	}
	document, err := Decode(entry)
	if err != nil {
		return Failed{err}
	}
	held, found := document.Class(name)
	wanted, err := edit(held, found)
	if err != nil {
		return Failed{err}
	}
	return e.write(ctx, document, held, wanted)
}

func (e Editor) write(ctx context.Context, document Document, held, wanted Class) Outcome {
	for range maxReapplied {
		change := e.change(document, wanted)
		text := document.WithClass(wanted).WithChange(change).Encode()
		if len(text) > MaxDocumentBytes {
			return Failed{&BadInput{fmt.Sprintf("configuration would have %d bytes; at most %d fit", len(text), MaxDocumentBytes)}}
		}
		value := packed.Pack(text)
		trace := func(current settle.Entry) settle.Trace { return traceIn(current, change.ChangeID) }
		outcome := settle.Do(ctx, e.Store, settle.Write{Value: value, Revision: document.Revision, Trace: trace})
		switch o := outcome.(type) {
		case settle.Accepted:
			return Accepted{change.ChangeID, o.Revision, wanted}
		case settle.Unknown:
			return Unknown{change.ChangeID, o.Err}
		case settle.NotWritten:
			return Failed{o.Err}
		case settle.Rejected:
			newer, err := Decode(o.Current)
			if err != nil {
				return Failed{err}
			}
			if now, _ := newer.Class(wanted.Name); now != held {
				return Rejected{change.ChangeID, Differences(held, now), newer.lastChange(wanted.Name)}
			}
			document = newer
		}
	}
	return Failed{fmt.Errorf("configuration changed %d times during the change", maxReapplied)}
}

func (e Editor) change(d Document, c Class) Change {
	return Change{
		ChangeID: fmt.Sprintf("%d-%s", d.Revision, uuid.NewString()),
		Class:    c.Name,
		Operator: e.Operator,
		At:       time.Now().UTC().Truncate(time.Second),
		Revision: d.Revision,
	}
}

// Decode returns the document in an entry; no entry is an empty document.
func Decode(e settle.Entry) (Document, error) {
	if e.Revision == 0 {
		return Document{}, nil
	}
	text, err := packed.Text(e.Value)
	if err != nil {
		return Document{}, errs.Wrap(err, "decode configuration", "key-value service")
	}
	var d Document
	if err := json.Unmarshal(text, &d); err != nil {
		return Document{}, errs.Wrap(err, "decode configuration", "key-value service")
	}
	return d.WithRevision(e.Revision), nil
}

// WithClass returns the document with c in place of the class of its name.
func (d Document) WithClass(c Class) Document {
	classes := slices.DeleteFunc(slices.Clone(d.Classes), func(held Class) bool { return held.Name == c.Name })
	classes = append(classes, c)
	slices.SortFunc(classes, func(a, b Class) int { return strings.Compare(a.Name, b.Name) })
	d.Classes = classes
	return d
}

// WithChange returns the document with c in its history, which forgets the
// oldest changes beyond MaxHistory.
func (d Document) WithChange(c Change) Document {
	d.History = append(slices.Clone(d.History), c)
	d.History = d.History[max(0, len(d.History)-MaxHistory):]
	return d
}

func (d Document) lastChange(class string) Change {
	for i := len(d.History) - 1; i >= 0; i-- {
		if d.History[i].Class == class {
			return d.History[i]
		}
	}
	return Change{}
}

// Status reads what became of the change called id.
func Status(ctx context.Context, s settle.Store, id string) Outcome {
	base, err := baseRevision(id)
	if err != nil {
		return Failed{err}
	}
	entry, err := settle.Fresh(ctx, s)
	if err != nil {
		return Unknown{id, err}
	}
	if entry.Revision <= base {
		return Unknown{id, fmt.Errorf("no change was accepted since revision %d: the write may still be on its way", base)}
	}
	switch traceIn(entry, id) {
	case settle.Present:
		return Accepted{ChangeID: id, Revision: entry.Revision}
	case settle.Absent:
		return Rejected{ChangeID: id}
	}
	return Unknown{id, fmt.Errorf("the change is older than the %d that the configuration remembers", MaxHistory)}
}

// baseRevision returns the revision of the document that the change was made on.
func baseRevision(id string) (uint64, error) {
	text, _, found := strings.Cut(id, "-")
	base, err := strconv.ParseUint(text, 10, 64)
	if !found || err != nil {
		return 0, &BadInput{fmt.Sprintf("%q is not a change ID: expected a revision, a hyphen and a UUID", id)}
	}
	return base, nil
}

// traceIn looks for the change in the entry's history. A history that reaches
// back to the change's base and lacks it proves that it was not accepted.
func traceIn(e settle.Entry, id string) settle.Trace {
	d, err := Decode(e)
	base, badID := baseRevision(id)
	if err != nil || badID != nil {
		return settle.Forgotten
	}
	for _, c := range d.History {
		if c.ChangeID == id {
			return settle.Present
		}
	}
	if len(d.History) >= MaxHistory && d.History[0].Revision > base {
		return settle.Forgotten
	}
	return settle.Absent
}
