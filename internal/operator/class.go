package operator

import (
	"fmt"
	"regexp"
	"strings"
	"time"
)

const (
	maxReplicas   = 10000
	maxNameLength = 63
	maxAnswerTime = 10 * time.Minute
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)

// Check returns an *InputError for the first invalid value, or nil.
func (c Class) Check() error {
	switch {
	case !namePattern.MatchString(c.Name) || len(c.Name) > maxNameLength:
		return &InputError{fmt.Sprintf("class name %q: expected lower-case letters, digits and hyphens, at most %d", c.Name, maxNameLength)}
	case c.Kind != Model && c.Kind != Plain:
		return &InputError{fmt.Sprintf("kind %q: expected Model or Plain", c.Kind)}
	case c.Service == "":
		return &InputError{"service: expected the name of the service whose backend servers serve the class"}
	}
	return c.Target.check(c.Kind)
}

func (t Target) check(k Kind) error {
	switch {
	case k == Model && (t.Model == "") != (t.Version == ""):
		return &InputError{"model and version: expected both or neither"}
	case k == Model && (strings.Contains(t.Model, "/") || strings.Contains(t.Version, "/")):
		return &InputError{"model and version: expected names without a slash"}
	case k == Plain && (t.Model != "" || t.Version != ""):
		return &InputError{"model and version: expected none for a plain service"}
	case t.Replicas < 1 || t.Replicas > maxReplicas:
		return &InputError{fmt.Sprintf("replicas %d: expected 1 to %d", t.Replicas, maxReplicas)}
	case t.Weighing != Time && t.Weighing != OriginBytes:
		return &InputError{fmt.Sprintf("weighing %q: expected Time or OriginBytes", t.Weighing)}
	case t.FirstTokenMilliseconds < 0 || t.BetweenTokensMilliseconds < 0:
		return &InputError{"first-token and between-tokens: expected 0 or more"}
	case t.AnswerMilliseconds < 1 || t.AnswerMilliseconds > int(maxAnswerTime.Milliseconds()):
		return &InputError{fmt.Sprintf("answer-within %d ms: expected 1 ms to %s", t.AnswerMilliseconds, maxAnswerTime)}
	case t.FirstTokenMilliseconds > t.AnswerMilliseconds:
		return &InputError{"first-token: expected at most answer-within"}
	}
	return nil
}

// Field is a named value of a class, formatted for display.
type Field struct {
	Name, Value string
}

// Fields returns the class's values in a fixed order.
func (c Class) Fields() []Field {
	t := c.Target
	ready := ""
	if !t.ReadyBy.IsZero() {
		ready = t.ReadyBy.UTC().Format(time.RFC3339)
	}
	return []Field{
		{"Name", c.Name},
		{"Kind", string(c.Kind)},
		{"Service", c.Service},
		{"Idempotent", fmt.Sprint(c.Idempotent)},
		{"Priority", fmt.Sprint(c.Priority)},
		{"Model", t.Model},
		{"Version", t.Version},
		{"Replicas", fmt.Sprint(t.Replicas)},
		{"ReadyBy", ready},
		{"Weighing", string(t.Weighing)},
		{"FirstTokenMilliseconds", fmt.Sprint(t.FirstTokenMilliseconds)},
		{"BetweenTokensMilliseconds", fmt.Sprint(t.BetweenTokensMilliseconds)},
		{"AnswerMilliseconds", fmt.Sprint(t.AnswerMilliseconds)},
	}
}

// Differences lists the fields that differ, each as `Replicas: "4" is now "6"`.
func Differences(before, after Class) []string {
	var out []string
	now := after.Fields()
	for i, f := range before.Fields() {
		if f.Value != now[i].Value {
			out = append(out, fmt.Sprintf("%s: %q is now %q", f.Name, f.Value, now[i].Value))
		}
	}
	return out
}
