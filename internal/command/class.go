package command

import (
	"fmt"
	"text/tabwriter"

	"almondreel.example/almondreel/internal/operator"
	"almondreel.example/almondreel/pkg/condwrite"
)

type className struct {
	Name string `positional-arg-name:"NAME" description:"the class"`
}

// classOptions are the options of class create and class set. A nil option leaves
// the class's value unchanged.
type classOptions struct {
	Kind          *operator.Kind     `long:"kind" choice:"Model" choice:"Plain" description:"what carries the class"`
	Service       *string            `long:"service" description:"service whose backend servers carry the class"`
	NotIdempotent bool               `long:"not-idempotent" description:"a call must run at most once; callers send an idempotency key"`
	Idempotent    bool               `long:"idempotent" description:"a call may be repeated"`
	Priority      *int               `long:"priority" description:"higher goes first"`
	Model         *string            `long:"model" description:"the model"`
	Version       *string            `long:"version" description:"the model's version"`
	Replicas      *int               `long:"replicas" description:"instances that must carry the class"`
	ReadyWithin   *deadline          `long:"ready-within" value-name:"TIME" description:"time from now by which the version must serve"`
	FirstToken    *milliseconds      `long:"first-token" value-name:"TIME" description:"time to the first token"`
	BetweenTokens *milliseconds      `long:"between-tokens" value-name:"TIME" description:"time between tokens"`
	AnswerWithin  *milliseconds      `long:"answer-within" value-name:"TIME" description:"time from a request's arrival to its whole answer"`
	Weighing      *operator.Weighing `long:"weighing" choice:"Time" choice:"OriginBytes" description:"what a release saves: time, or bytes drawn from the origin"`
}

// set returns the class with the given options applied.
func (v classOptions) set(c operator.Class) operator.Class {
	if v.Kind != nil {
		c.Kind = *v.Kind
	}
	if v.Weighing != nil {
		c.Target.Weighing = *v.Weighing
	}
	setText(&c.Service, v.Service)
	setText(&c.Target.Model, v.Model)
	setText(&c.Target.Version, v.Version)
	setNumber(&c.Priority, v.Priority)
	setNumber(&c.Target.Replicas, v.Replicas)
	if v.NotIdempotent || v.Idempotent {
		c.Idempotent = v.Idempotent
	}
	if v.ReadyWithin != nil {
		c.Target.ReadyBy = v.ReadyWithin.at
	}
	setMilliseconds(&c.Target.FirstTokenMilliseconds, v.FirstToken)
	setMilliseconds(&c.Target.BetweenTokensMilliseconds, v.BetweenTokens)
	setMilliseconds(&c.Target.AnswerMilliseconds, v.AnswerWithin)
	return c
}

func setText(field, value *string) {
	if value != nil {
		*field = *value
	}
}

func setNumber(field, value *int) {
	if value != nil {
		*field = *value
	}
}

func setMilliseconds(field *int, value *milliseconds) {
	if value != nil {
		*field = int(*value)
	}
}

const defaultAnswerMilliseconds = 30_000

type classCreate struct {
	classOptions
	Position   className `positional-args:"yes" required:"yes"`
	invocation *invocation
}

// Execute creates the class.
func (c *classCreate) Execute([]string) error {
	defaults := operator.Class{Name: c.Position.Name, Idempotent: true}
	defaults.Target.Replicas = 1
	defaults.Target.Weighing = operator.Time
	defaults.Target.AnswerMilliseconds = defaultAnswerMilliseconds
	wanted := c.set(defaults)
	return c.invocation.change(c.Position.Name, func(current operator.Class, found bool) (operator.Class, error) {
		if found {
			return current, &operator.InputError{Reason: fmt.Sprintf("class %q exists: change it with %s class set", current.Name, programName)}
		}
		return wanted, nil
	})
}

type classSet struct {
	classOptions
	Position   className `positional-args:"yes" required:"yes"`
	invocation *invocation
}

// Execute changes the class.
func (c *classSet) Execute([]string) error {
	return c.invocation.change(c.Position.Name, editExisting(c.Position.Name, c.set))
}

type target struct {
	Model       *string   `long:"model" description:"the model, if it changes"`
	Version     *string   `long:"version" description:"the model's version"`
	Replicas    *int      `long:"replicas" description:"instances that must carry the class"`
	ReadyWithin *deadline `long:"ready-within" value-name:"TIME" description:"time from now by which the version must serve"`
	Position    className `positional-args:"yes" required:"yes"`
	invocation  *invocation
}

// Execute sets the class's target.
func (t *target) Execute([]string) error {
	v := classOptions{Model: t.Model, Version: t.Version, Replicas: t.Replicas, ReadyWithin: t.ReadyWithin}
	if v == (classOptions{}) {
		return &exitError{ExitBadInput, "target: expected --version, --replicas or --ready-within"}
	}
	return t.invocation.change(t.Position.Name, editExisting(t.Position.Name, v.set))
}

func editExisting(name string, set func(operator.Class) operator.Class) operator.Edit {
	return func(current operator.Class, found bool) (operator.Class, error) {
		if !found {
			return current, &operator.InputError{Reason: fmt.Sprintf("class %q does not exist: see %s class list", name, programName)}
		}
		return set(current), nil
	}
}

// change applies an edit of the class called name, after checking that the result is
// valid and that the service has enough instances for it.
func (inv *invocation) change(name string, edit operator.Edit) error {
	o, err := inv.load()
	if err != nil {
		return err
	}
	return inv.apply(o, name, func(current operator.Class, found bool) (operator.Class, error) {
		wanted, err := edit(current, found)
		if err == nil {
			err = wanted.Check()
		}
		if err == nil {
			err = inv.checkReplicas(o, wanted)
		}
		return wanted, err
	})
}

type classShow struct {
	Position   className `positional-args:"yes" required:"yes"`
	invocation *invocation
}

// Execute prints the class's values, one per line.
func (c *classShow) Execute([]string) error {
	d, err := c.invocation.read()
	if err != nil {
		return err
	}
	class, found := d.Class(c.Position.Name)
	if !found {
		return &exitError{ExitBadInput, fmt.Sprintf("class %q does not exist: see %s class list", c.Position.Name, programName)}
	}
	table := tabwriter.NewWriter(c.invocation.out, 0, 0, 2, ' ', 0)
	for _, f := range class.Fields() {
		fmt.Fprintf(table, "%s\t%s\n", f.Name, f.Value)
	}
	return table.Flush()
}

type classList struct {
	invocation *invocation
}

// Execute prints the classes, one per line.
func (c *classList) Execute([]string) error {
	d, err := c.invocation.read()
	if err != nil {
		return err
	}
	table := tabwriter.NewWriter(c.invocation.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "CLASS\tKIND\tSERVICE\tMODEL\tVERSION\tREPLICAS\tPRIORITY")
	for _, v := range d.Classes {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%d\t%d\n",
			v.Name, v.Kind, v.Service, v.Target.Model, v.Target.Version, v.Target.Replicas, v.Priority)
	}
	return table.Flush()
}

func (inv *invocation) read() (operator.Document, error) {
	o, err := inv.load()
	if err != nil {
		return operator.Document{}, err
	}
	ctx, cancel := inv.context()
	defer cancel()
	e, err := condwrite.Read(ctx, configurationStore(o))
	if err != nil {
		return operator.Document{}, err
	}
	return operator.Decode(e)
}

type changeStatus struct {
	Position struct {
		ID string `positional-arg-name:"ID" description:"the change"`
	} `positional-args:"yes" required:"yes"`
	invocation *invocation
}

// Execute reports the outcome of an earlier change.
func (c *changeStatus) Execute([]string) error {
	o, err := c.invocation.load()
	if err != nil {
		return err
	}
	ctx, cancel := c.invocation.context()
	defer cancel()
	return c.invocation.report(operator.Status(ctx, configurationStore(o), c.Position.ID))
}
