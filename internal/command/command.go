// Package command implements almondreel, the operators' command line. It edits the
// classes of work and their targets in the key-value service, and prints the status
// that gateways report.
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
	"almondreel.example/almondreel/pkg/condwrite"
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

// exitError is an error that sets the exit code. Its text is printed to the error output.
type exitError struct {
	code int
	text string
}

// Error returns the text.
func (e *exitError) Error() string { return e.text }

// invocation is one run of the command line, with its global options.
type invocation struct {
	Settings string       `long:"settings" value-name:"FILE" description:"operator's settings file" default:"operator.yaml"`
	Wait     milliseconds `long:"wait" value-name:"TIME" description:"time to settle a change whose answer is lost" default:"30s"`

	out, errors io.Writer
}

// Run parses and executes a command line, without the program name, and returns its
// exit code.
func Run(arguments []string, out, errorOutput io.Writer) int {
	inv := &invocation{out: out, errors: errorOutput}
	parser := flags.NewNamedParser(programName, flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "set targets for classes of work and show their progress"
	parser.LongDescription = longHelp
	if _, err := parser.AddGroup("Options", "", inv); err != nil {
		panic(err)
	}
	inv.addCommands(parser)
	_, err := parser.ParseArgs(arguments)
	return inv.exitCode(err)
}

const longHelp = `Operators define classes of work and set a target for each: model, version, number
of replicas, deadline for the release and latencies. The gateways and agents then
bring the instances to the target.

Exit codes: 0 accepted, 1 failure, 2 bad input, 3 rejected because another
change came first, 4 unknown: query it again with "almondreel change status ID".`

func (inv *invocation) exitCode(err error) int {
	var e *exitError
	var help *flags.Error
	switch {
	case err == nil:
		return ExitAccepted
	case errors.As(err, &help) && help.Type == flags.ErrHelp:
		fmt.Fprintln(inv.out, help.Message)
		return ExitAccepted
	case errors.As(err, &help):
		fmt.Fprintf(inv.errors, "%s: %s\n", programName, help.Message)
		return ExitBadInput
	case errors.As(err, &e):
		if e.text != "" {
			fmt.Fprintf(inv.errors, "%s: %s\n", programName, e.text)
		}
		return e.code
	}
	fmt.Fprintf(inv.errors, "%s: %v\n", programName, err)
	return ExitFailure
}

func (inv *invocation) addCommands(p *flags.Parser) {
	class := addCommand(p.Command, "class", "create, change and show classes of work", &struct{}{})
	addCommand(class, "create", "create a class", &classCreate{invocation: inv})
	addCommand(class, "set", "change some values of a class", &classSet{invocation: inv})
	addCommand(class, "show", "show a class's values", &classShow{invocation: inv})
	addCommand(class, "list", "list the classes", &classList{invocation: inv})
	addCommand(p.Command, "target", "set a class's version, number of replicas or deadline", &target{invocation: inv})
	addCommand(p.Command, "status", "show the progress of each class towards its target", &showStatus{invocation: inv})
	change := addCommand(p.Command, "change", "query changes", &struct{}{})
	addCommand(change, "status", "show whether a change was accepted", &changeStatus{invocation: inv})
	addCommand(p.Command, "invoice", "sum the outcomes of requests by organisation and class", &showInvoice{invocation: inv})
	addCommand(p.Command, "explain", "show the log lines about one request or backend server", &explainRequest{invocation: inv})
	addCommand(p.Command, "check", "validate a settings file as the program does at startup", &check{invocation: inv})
}

func addCommand(parent *flags.Command, name, description string, data any) *flags.Command {
	c, err := parent.AddCommand(name, description, "", data)
	if err != nil {
		panic(err)
	}
	return c
}

// load reads the operator's settings.
func (inv *invocation) load() (settings.Operator, error) {
	o, err := settings.LoadOperator(inv.Settings)
	if err != nil {
		return o, &exitError{ExitBadInput, err.Error()}
	}
	return o, nil
}

func configurationStore(o settings.Operator) condwrite.Store {
	return kv.Key{Client: kv.NewClient(o.KeyValue).WithPurpose("Operator"), Name: operator.ConfigurationKey}
}

func (inv *invocation) context() (context.Context, context.CancelFunc) {
	wait := int64(inv.Wait)
	if wait <= 0 {
		wait = defaultWaitMilliseconds
	}
	return context.WithTimeout(context.Background(), time.Duration(wait)*time.Millisecond)
}

// apply edits a class and reports the outcome.
func (inv *invocation) apply(o settings.Operator, class string, edit operator.Edit) error {
	ctx, cancel := inv.context()
	defer cancel()
	editor := operator.Editor{Store: configurationStore(o), Operator: o.Operator}
	return inv.report(editor.Apply(ctx, class, edit))
}

func (inv *invocation) report(outcome operator.Outcome) error {
	switch v := outcome.(type) {
	case operator.Accepted:
		fmt.Fprintf(inv.out, "accepted: change %s, revision %d\n", v.ChangeID, v.Revision)
		return nil
	case operator.Rejected:
		return &exitError{ExitRejected, rejectionText(v)}
	case operator.Unknown:
		return &exitError{ExitUnknown, fmt.Sprintf("unknown: change %s: %v\nquery it again: %s change status %s", v.ChangeID, v.Err, programName, v.ChangeID)}
	case operator.Failed:
		return changeError(v.Err)
	}
	return fmt.Errorf("unexpected outcome %T", outcome)
}

func changeError(err error) error {
	var invalid *operator.InputError
	if errors.As(err, &invalid) {
		return &exitError{ExitBadInput, invalid.Reason}
	}
	return &exitError{ExitFailure, fmt.Sprintf("not changed: %v", err)}
}

func rejectionText(r operator.Rejected) string {
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
