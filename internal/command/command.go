// Package command is the operators' command line: classes of work, their
// targets, and how far the system is from reaching them.
package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/jessevdk/go-flags"

	"almondreel.example/almondreel/internal/kv"
	"almondreel.example/almondreel/internal/operator"
	"almondreel.example/almondreel/internal/settings"
	"almondreel.example/almondreel/pkg/settle"
)

// Exit codes.
const (
	ExitAccepted = 0
	ExitFailure  = 1
	ExitBadInput = 2
	ExitRejected = 3
	ExitUnknown  = 4
)

const (
	defaultWaitMilliseconds = 30_000
	programName             = "almondreel"
)

// exit ends the program with a code; its text goes to the error output.
type exit struct {
	code int
	text string
}

// Error is the text for the operator.
func (e *exit) Error() string { return e.text }

// line is one run of the command line.
type line struct {
	Settings string       `long:"settings" value-name:"FILE" description:"operator's settings file" default:"operator.yaml"`
	Wait     milliseconds `long:"wait" value-name:"TIME" description:"time to settle a change whose answer is lost" default:"30s"`

	out, errors io.Writer
}

// Run runs the command line in arguments and returns the exit code.
func Run(arguments []string, out, errorOutput io.Writer) int {
	l := &line{out: out, errors: errorOutput}
	parser := flags.NewNamedParser(programName, flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "say what the system must reach, and see how far it is"
	parser.LongDescription = longHelp
	if _, err := parser.AddGroup("Options", "", l); err != nil {
		panic(err)
	}
	l.addCommands(parser)
	_, err := parser.ParseArgs(arguments)
	return l.code(err)
}

const longHelp = `Operators name classes of work and give each a target: which version of which
model, on how many instances, ready by when, how fast. The system reaches it.

Exit codes: 0 accepted, 1 failure, 2 bad input, 3 rejected because another
change came first, 4 unknown: ask again with "almondreel change status ID".`

func (l *line) code(err error) int {
	var e *exit
	var help *flags.Error
	switch {
	case err == nil:
		return ExitAccepted
	case errors.As(err, &help) && help.Type == flags.ErrHelp:
		fmt.Fprintln(l.out, help.Message)
		return ExitAccepted
	case errors.As(err, &help):
		fmt.Fprintf(l.errors, "%s: %s\n", programName, help.Message)
		return ExitBadInput
	case errors.As(err, &e):
		if e.text != "" {
			fmt.Fprintf(l.errors, "%s: %s\n", programName, e.text)
		}
		return e.code
	}
	fmt.Fprintf(l.errors, "%s: %v\n", programName, err)
	return ExitFailure
}

func (l *line) addCommands(p *flags.Parser) {
	class := add(p.Command, "class", "create, change and show classes of work", &struct{}{})
	add(class, "create", "create a class", &classCreate{line: l})
	add(class, "set", "change some values of a class", &classSet{line: l})
	add(class, "show", "show a class's values", &classShow{line: l})
	add(class, "list", "list the classes", &classList{line: l})
	add(p.Command, "target", "give a class another version, number of replicas or time", &target{line: l})
	add(p.Command, "status", "show how far each class is from its target", &showStatus{line: l})
	change := add(p.Command, "change", "ask about changes", &struct{}{})
	add(change, "status", "tell whether a change was accepted", &changeStatus{line: l})
	add(p.Command, "invoice", "sum the outcomes of requests by organisation and class", &showInvoice{line: l})
	add(p.Command, "explain", "show what logs say of one request", &explainRequest{line: l})
	add(p.Command, "check", "check a settings file as start-up would", &check{line: l})
}

func add(parent *flags.Command, name, description string, data any) *flags.Command {
	c, err := parent.AddCommand(name, description, "", data)
	if err != nil {
		panic(err)
	}
	return c
}

// load reads the operator's settings.
func (l *line) load() (settings.Operator, error) {
	o, err := settings.LoadOperator(l.Settings)
	if err != nil {
		return o, &exit{ExitBadInput, err.Error()}
	}
	return o, nil
}

func store(o settings.Operator) settle.Store {
	return kv.Key{Client: kv.NewClient(o.KeyValue).For("Operator"), Name: operator.ConfigurationKey}
}

func (l *line) context() (context.Context, context.CancelFunc) {
	wait := int64(l.Wait)
	if wait <= 0 {
		wait = defaultWaitMilliseconds
	}
	return context.WithTimeout(context.Background(), time.Duration(wait)*time.Millisecond)
}

// apply makes a change and reports its outcome.
func (l *line) apply(o settings.Operator, class string, edit operator.Edit) error {
	ctx, cancel := l.context()
	defer cancel()
	editor := operator.Editor{Store: store(o), Operator: o.Operator}
	return l.report(editor.Apply(ctx, class, edit))
}

func (l *line) report(outcome operator.Outcome) error {
	switch v := outcome.(type) {
	case operator.Accepted:
		fmt.Fprintf(l.out, "accepted: change %s, revision %d\n", v.ChangeID, v.Revision)
		return nil
	case operator.Rejected:
		return &exit{ExitRejected, rejection(v)}
	case operator.Unknown:
		return &exit{ExitUnknown, fmt.Sprintf("unknown: change %s: %v\nask again: %s change status %s", v.ChangeID, v.Err, programName, v.ChangeID)}
	case operator.Failed:
		return failure(v.Err)
	}
	return fmt.Errorf("outcome %T is not known", outcome)
}

func failure(err error) error {
	var bad *operator.BadInput
	if errors.As(err, &bad) {
		return &exit{ExitBadInput, bad.Reason}
	}
	return &exit{ExitFailure, fmt.Sprintf("not changed: %v", err)}
}

func rejection(r operator.Rejected) string {
	text := fmt.Sprintf("rejected: change %s was not made", r.ChangeID)
	if r.By.ChangeID != "" {
		text += fmt.Sprintf("; %s changed class %s at %s (change %s)",
			r.By.Operator, r.By.Class, r.By.At.Format(time.RFC3339), r.By.ChangeID)
	}
	for _, d := range r.Differences {
		text += "\n  " + d
	}
	return text
}
