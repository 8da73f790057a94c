package statechart_test

import (
	"fmt"

	"almondreel.example/almondreel/pkg/statechart"
)

func ExampleMachine() {
	c := statechart.MustLoad([]byte(doorChart))
	m := statechart.NewMachine(c, func(_, from, event, to string) { fmt.Println(from, event, to) })
	fmt.Println(m.Fire("Open"))
	fmt.Println(m.Fire("Remove"))
	// Output:
	// Closed Open Open
	// <nil>
	// chart Door: event "Remove" is not allowed in state "Open"
}
