package operator

import (
	"fmt"
	"regexp"
	"strings"
	"time"
)

const (
	maxReplicas     = 10000
	maxNameLength   = 63
	maxDeadlineTime = 10 * time.Minute
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)

// Check reports the first value that cannot be used, with what was expected.
func (c Class) Check() error {
	switch {
	case !namePattern.MatchString(c.Name) || len(c.Name) > maxNameLength:
		return &BadInput{fmt.Sprintf("class name %q: expected lower-case letters, digits and hyphens, at most %d", c.Name, maxNameLength)}
	case c.Kind != Model && c.Kind != Plain:
		return &BadInput{fmt.Sprintf("kind %q: expected Model or Plain", c.Kind)}
	case c.Service == "":
		return &BadInput{"service: expected the name of the service whose backend servers carry the class"}
	}
	return c.Target.check(c.Kind)
}

func (t Target) check(k Kind) error {
	switch {
	case k == Model && (t.Model == "") != (t.Version == ""):
		return &BadInput{"model and version: expected both or neither"}
	case k == Model && (strings.Contains(t.Model, "/") || strings.Contains(t.Version, "/")):
		return &BadInput{"model and version: expected names without a slash"}
	case k == Plain && (t.Model != "" || t.Version != ""):
		return &BadInput{"model and version: expected none for a plain service"}
	case t.Replicas < 1 || t.Replicas > maxReplicas:
		return &BadInput{fmt.Sprintf("replicas %d: expected 1 to %d", t.Replicas, maxReplicas)}
	case t.Weighing != Time && t.Weighing != OriginBytes:
		return &BadInput{fmt.Sprintf("weighing %q: expected Time or OriginBytes", t.Weighing)}
	case t.FirstTokenMilliseconds < 0 || t.BetweenTokensMilliseconds < 0:
		return &BadInput{"first-token and between-tokens: expected 0 or more"}
	case t.AnswerMilliseconds < 1 || t.AnswerMilliseconds > int(maxDeadlineTime.Milliseconds()):
		return &BadInput{fmt.Sprintf("answer-within %d ms: expected 1 ms to %s", t.AnswerMilliseconds, maxDeadlineTime)}
	case t.FirstTokenMilliseconds > t.AnswerMilliseconds:
		return &BadInput{"first-token: expected at most answer-within"}
	}
	return nil
}

// Field is a named value of a class, as operators read it.
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

// Differences says which fields differ, as "Replicas: 4 is now 6".
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
