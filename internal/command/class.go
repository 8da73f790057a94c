package command

import (
	"fmt"
	"text/tabwriter"

	"almondreel.example/almondreel/internal/operator"
	"almondreel.example/almondreel/pkg/settle"
)

type className struct {
	Name string `positional-arg-name:"NAME" description:"the class"`
}

// values are the options of class create and class set. A nil value is left as it is.
type values struct {
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

// set returns the class with the given values in place.
func (v values) set(c operator.Class) operator.Class {
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
	values
	Position className `positional-args:"yes" required:"yes"`
	line     *line
}

// Execute creates the class.
func (c *classCreate) Execute([]string) error {
	fresh := operator.Class{Name: c.Position.Name, Idempotent: true}
	fresh.Target.Replicas = 1
	fresh.Target.Weighing = operator.Time
	fresh.Target.AnswerMilliseconds = defaultAnswerMilliseconds
	wanted := c.set(fresh)
	return c.line.change(c.Position.Name, func(held operator.Class, found bool) (operator.Class, error) {
		if found {
			return held, &operator.BadInput{Reason: fmt.Sprintf("class %q exists: change it with %s class set", held.Name, programName)}
		}
		return wanted, nil
	})
}

type classSet struct {
	values
	Position className `positional-args:"yes" required:"yes"`
	line     *line
}

// Execute changes the class.
func (c *classSet) Execute([]string) error {
	return c.line.change(c.Position.Name, mustExist(c.Position.Name, c.set))
}

type target struct {
	Model       *string   `long:"model" description:"the model, if it changes"`
	Version     *string   `long:"version" description:"the model's version"`
	Replicas    *int      `long:"replicas" description:"instances that must carry the class"`
	ReadyWithin *deadline `long:"ready-within" value-name:"TIME" description:"time from now by which the version must serve"`
	Position    className `positional-args:"yes" required:"yes"`
	line        *line
}

// Execute sets the class's target.
func (t *target) Execute([]string) error {
	v := values{Model: t.Model, Version: t.Version, Replicas: t.Replicas, ReadyWithin: t.ReadyWithin}
	if v == (values{}) {
		return &exit{ExitBadInput, "target: expected --version, --replicas or --ready-within"}
	}
	return t.line.change(t.Position.Name, mustExist(t.Position.Name, v.set))
}

func mustExist(name string, set func(operator.Class) operator.Class) operator.Edit {
	return func(held operator.Class, found bool) (operator.Class, error) {
		if !found {
			return held, &operator.BadInput{Reason: fmt.Sprintf("class %q does not exist: see %s class list", name, programName)}
		}
		return set(held), nil
	}
}

// change checks an edit against what is possible and makes it.
func (l *line) change(name string, edit operator.Edit) error {
	o, err := l.load()
	if err != nil {
		return err
	}
	return l.apply(o, name, func(held operator.Class, found bool) (operator.Class, error) {
		wanted, err := edit(held, found)
		if err == nil {
			err = wanted.Check()
		}
		if err == nil {
			err = l.possible(o, wanted)
		}
		return wanted, err
	})
}

type classShow struct {
	Position className `positional-args:"yes" required:"yes"`
	line     *line
}

// Execute prints the class's values.
func (c *classShow) Execute([]string) error {
	d, err := c.line.read()
	if err != nil {
		return err
	}
	class, found := d.Class(c.Position.Name)
	if !found {
		return &exit{ExitBadInput, fmt.Sprintf("class %q does not exist: see %s class list", c.Position.Name, programName)}
	}
	table := tabwriter.NewWriter(c.line.out, 0, 0, 2, ' ', 0)
	for _, f := range class.Fields() {
		fmt.Fprintf(table, "%s\t%s\n", f.Name, f.Value)
	}
	return table.Flush()
}

type classList struct {
	line *line
}

// Execute prints one line a class.
func (c *classList) Execute([]string) error {
	d, err := c.line.read()
	if err != nil {
		return err
	}
	table := tabwriter.NewWriter(c.line.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "CLASS\tKIND\tSERVICE\tMODEL\tVERSION\tREPLICAS\tPRIORITY")
	for _, v := range d.Classes {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%d\t%d\n",
			v.Name, v.Kind, v.Service, v.Target.Model, v.Target.Version, v.Target.Replicas, v.Priority)
	}
	return table.Flush()
}

func (l *line) read() (operator.Document, error) {
	o, err := l.load()
	if err != nil {
		return operator.Document{}, err
	}
	ctx, cancel := l.context()
	defer cancel()
	e, err := settle.Read(ctx, store(o))
	if err != nil {
		return operator.Document{}, err
	}
	return operator.Decode(e)
}

type changeStatus struct {
	Position struct {
		ID string `positional-arg-name:"ID" description:"the change"`
	} `positional-args:"yes" required:"yes"`
	line *line
}

// Execute tells what became of a change.
func (c *changeStatus) Execute([]string) error {
	o, err := c.line.load()
	if err != nil {
		return err
	}
	ctx, cancel := c.line.context()
	defer cancel()
	return c.line.report(operator.Status(ctx, store(o), c.Position.ID))
}
