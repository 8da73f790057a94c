// Package statechart runs finite state machines that are described in YAML.
//
// A chart lists the states, the initial state, the terminal states and the
// transition for each event. Load validates a chart; a Machine executes it.
package statechart

import (
	"bytes"
	"fmt"
	"sync"

	"gopkg.in/yaml.v3"
)

// Transition is the change from state From to state To on Event.
type Transition struct {
	From  string `yaml:"From"`
	Event string `yaml:"Event"`
	To    string `yaml:"To"`
}

// Chart is a validated state chart.
type Chart struct {
	Name        string       `yaml:"Name"`
	First       string       `yaml:"First"`
	States      []string     `yaml:"States"`
	Terminal    []string     `yaml:"Terminal"`
	Transitions []Transition `yaml:"Transitions"`
}

// Observer is called after each transition of a machine.
type Observer func(chart, from, event, to string)

// IllegalTransition reports an event that the chart does not allow in a state.
type IllegalTransition struct {
	Chart, State, Event string
}

// Error names the chart, the state and the event.
func (e *IllegalTransition) Error() string {
	return fmt.Sprintf("chart %s: event %q is not allowed in state %q", e.Chart, e.Event, e.State)
}

// Load parses and validates a chart. Unknown keys are errors.
func Load(text []byte) (*Chart, error) {
	var c Chart
	decoder := yaml.NewDecoder(bytes.NewReader(text))
	decoder.KnownFields(true)
	if err := decoder.Decode(&c); err != nil {
		return nil, fmt.Errorf("state chart: %w", err)
	}
	if err := c.check(); err != nil {
		return nil, fmt.Errorf("state chart %s: %w", c.Name, err)
	}
	return &c, nil
}

// MustLoad is Load for embedded charts; it panics on an error.
func MustLoad(text []byte) *Chart {
	c, err := Load(text)
	if err != nil {
		panic(err)
	}
	return c
}

func (c *Chart) check() error {
	known := toSet(c.States)
	if !known[c.First] {
		return fmt.Errorf("first state %q is not among the states", c.First)
	}
	terminal := toSet(c.Terminal)
	for state := range terminal {
		if !known[state] {
			return fmt.Errorf("terminal state %q is not among the states", state)
		}
	}
	if err := c.checkTransitions(known, terminal); err != nil {
		return err
	}
	return c.checkReachable()
}

func (c *Chart) checkTransitions(known, terminal map[string]bool) error {
	seen := map[[2]string]bool{}
	for _, t := range c.Transitions {
		if !known[t.From] || !known[t.To] {
			return fmt.Errorf("transition %q to %q names an unknown state", t.From, t.To)
		}
		if terminal[t.From] {
			return fmt.Errorf("terminal state %q has a transition on %q", t.From, t.Event)
		}
		edge := [2]string{t.From, t.Event}
		if seen[edge] {
			return fmt.Errorf("state %q has two transitions on %q", t.From, t.Event)
		}
		seen[edge] = true
	}
	return nil
}

func (c *Chart) checkReachable() error {
	reached := map[string]bool{c.First: true}
	for changed := true; changed; {
		changed = false
		for _, t := range c.Transitions {
			if reached[t.From] && !reached[t.To] {
				reached[t.To] = true
				changed = true
			}
		}
	}
	for _, state := range c.States {
		if !reached[state] {
			return fmt.Errorf("state %q cannot be reached", state)
		}
	}
	return nil
}

func (c *Chart) next(state, event string) (string, bool) {
	for _, t := range c.Transitions {
		if t.From == state && t.Event == event {
			return t.To, true
		}
	}
	return "", false
}

// Machine is an instance of a chart with a current state. It is safe for
// concurrent use.
type Machine struct {
	chart    *Chart
	observer Observer
	mu       sync.Mutex
	state    string
}

// NewMachine returns a machine in the chart's first state. The observer may be
// nil.
func NewMachine(c *Chart, observer Observer) *Machine {
	return &Machine{chart: c, observer: observer, state: c.First}
}

// State returns the current state.
func (m *Machine) State() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state
}

// Done reports whether the current state is terminal.
func (m *Machine) Done() bool {
	return toSet(m.chart.Terminal)[m.State()]
}

// Fire takes the transition on event. If the chart has none for the current
// state, the state stays and the error is an *IllegalTransition.
func (m *Machine) Fire(event string) error {
	m.mu.Lock()
	from := m.state
	to, ok := m.chart.next(from, event)
	if ok {
		m.state = to
	}
	m.mu.Unlock()
	if !ok {
		return &IllegalTransition{Chart: m.chart.Name, State: from, Event: event}
	}
	if m.observer != nil {
		m.observer(m.chart.Name, from, event, to)
	}
	return nil
}

func toSet(names []string) map[string]bool {
	set := make(map[string]bool, len(names))
	for _, name := range names {
		set[name] = true
	}
	return set
}
