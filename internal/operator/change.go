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

	"almondreel.example/almondreel/internal/compress"
	"almondreel.example/almondreel/internal/errs"
	"almondreel.example/almondreel/pkg/condwrite"
)

const (
	// MaxDocumentBytes limits the size of the encoded document. It is stored
	// compressed, which keeps it well below the size limit of a value in the
	// key-value service.
	MaxDocumentBytes = 1 << 20
	maxReapplies     = 32
)

// Outcome is the result of an operator's change: Accepted, Rejected, Unknown or Failed.
type Outcome interface{ outcome() }

// Accepted means that the change is in the document and will reach every daemon.
type Accepted struct {
	ChangeID string
	Revision uint64
	Class    Class
}

// Rejected means that the change was not made and will not be made later, because
// another change of the class was accepted first.
type Rejected struct {
	ChangeID    string
	Differences []string // fields that the other change altered
	By          Change   // the other change; zero if it is no longer in the history
}

// Unknown means that the change may have been made or may still be made.
type Unknown struct {
	ChangeID string
	Err      error
}

// Failed means that the change was not made and will not be made later.
type Failed struct{ Err error }

func (Accepted) outcome() {}
func (Rejected) outcome() {}
func (Unknown) outcome()  {}
func (Failed) outcome()   {}

// InputError reports a change that cannot be made as requested. A retry does not help.
type InputError struct{ Reason string }

// Error returns the reason.
func (e *InputError) Error() string { return e.Reason }

// Editor makes changes to the document in a store.
type Editor struct {
	Store    condwrite.Store
	Operator string
}

// Edit returns the changed class. found is false if the class does not exist yet.
type Edit func(current Class, found bool) (Class, error)

// Apply applies edit to the class called name. If the document changed concurrently,
// the change is applied again to the newer document, unless the class itself changed.
func (e Editor) Apply(ctx context.Context, name string, edit Edit) Outcome {
	entry, err := condwrite.ReadLatest(ctx, e.Store)
	if err != nil {
		return Failed{err}
	}
	document, err := Decode(entry)
	if err != nil {
		return Failed{err}
	}
	current, found := document.Class(name)
	wanted, err := edit(current, found)
	if err != nil {
		return Failed{err}
	}
	return e.write(ctx, document, current, wanted)
}

func (e Editor) write(ctx context.Context, document Document, base, wanted Class) Outcome {
	for range maxReapplies {
		change := e.newChange(document, wanted)
		text := document.WithClass(wanted).WithChange(change).Encode()
		if len(text) > MaxDocumentBytes {
			return Failed{&InputError{fmt.Sprintf("configuration would have %d bytes; at most %d fit", len(text), MaxDocumentBytes)}}
		}
		value := compress.Gzip(text)
		presence := func(entry condwrite.Entry) condwrite.Presence { return findChange(entry, change.ChangeID) }
		outcome := condwrite.Do(ctx, e.Store, condwrite.Write{Value: value, Revision: document.Revision, Presence: presence})
		switch o := outcome.(type) {
		case condwrite.Accepted:
			return Accepted{change.ChangeID, o.Revision, wanted}
		case condwrite.Unknown:
			return Unknown{change.ChangeID, o.Err}
		case condwrite.NotWritten:
			return Failed{o.Err}
		case condwrite.Rejected:
			newer, err := Decode(o.Current)
			if err != nil {
				return Failed{err}
			}
			if now, _ := newer.Class(wanted.Name); now != base {
				return Rejected{change.ChangeID, Differences(base, now), newer.lastChange(wanted.Name)}
			}
			document = newer
		}
	}
	return Failed{fmt.Errorf("configuration was changed concurrently in each of %d attempts", maxReapplies)}
}

func (e Editor) newChange(d Document, c Class) Change {
	return Change{
		ChangeID: fmt.Sprintf("%d-%s", d.Revision, uuid.NewString()),
		Class:    c.Name,
		Operator: e.Operator,
		At:       time.Now().UTC().Truncate(time.Second),
		Revision: d.Revision,
	}
}

// Decode returns the document in an entry. An entry with revision 0 is an empty document.
func Decode(e condwrite.Entry) (Document, error) {
	if e.Revision == 0 {
		return Document{}, nil
	}
	text, err := compress.GunzipIfCompressed(e.Value)
	if err != nil {
		return Document{}, errs.Wrap(err, "decode configuration", "key-value service")
	}
	var d Document
	if err := json.Unmarshal(text, &d); err != nil {
		return Document{}, errs.Wrap(err, "decode configuration", "key-value service")
	}
	return d.WithRevision(e.Revision), nil
}

// WithClass returns the document with c added or replacing the class of the same name.
func (d Document) WithClass(c Class) Document {
	classes := slices.DeleteFunc(slices.Clone(d.Classes), func(other Class) bool { return other.Name == c.Name })
	classes = append(classes, c)
	slices.SortFunc(classes, func(a, b Class) int { return strings.Compare(a.Name, b.Name) })
	d.Classes = classes
	return d
}

// WithChange returns the document with c added to its history, which keeps the newest
// MaxHistory changes.
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

// Status returns the outcome of the change with this ID, as found in the store.
func Status(ctx context.Context, s condwrite.Store, id string) Outcome {
	base, err := baseRevision(id)
	if err != nil {
		return Failed{err}
	}
	entry, err := condwrite.ReadLatest(ctx, s)
	if err != nil {
		return Unknown{id, err}
	}
	if entry.Revision <= base {
		return Unknown{id, fmt.Errorf("no change was accepted since revision %d: the write may still be in flight", base)}
	}
	switch findChange(entry, id) {
	case condwrite.Present:
		return Accepted{ChangeID: id, Revision: entry.Revision}
	case condwrite.Absent:
		return Rejected{ChangeID: id}
	}
	return Unknown{id, fmt.Errorf("the change is older than the last %d changes, which the configuration lists", MaxHistory)}
}

// baseRevision returns the revision in a change ID: that of the document that the change
// was based on.
func baseRevision(id string) (uint64, error) {
	text, _, found := strings.Cut(id, "-")
	base, err := strconv.ParseUint(text, 10, 64)
	if !found || err != nil {
		return 0, &InputError{fmt.Sprintf("%q is not a change ID: expected a revision, a hyphen and a UUID", id)}
	}
	return base, nil
}

// findChange looks for the change in the entry's history. If the history reaches back
// to the change's base revision and does not list the change, it was not accepted.
func findChange(e condwrite.Entry, id string) condwrite.Presence {
	d, err := Decode(e)
	base, idErr := baseRevision(id)
	if err != nil || idErr != nil {
		return condwrite.Indeterminate
	}
	for _, c := range d.History {
		if c.ChangeID == id {
			return condwrite.Present
		}
	}
	if len(d.History) >= MaxHistory && d.History[0].Revision > base {
		return condwrite.Indeterminate
	}
	return condwrite.Absent
}
