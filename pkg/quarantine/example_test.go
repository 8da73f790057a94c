package quarantine_test

import (
	"fmt"
	"time"

	"almondreel.example/almondreel/pkg/quarantine"
)

func ExampleTable() {
	table := quarantine.NewTable()
	until := time.Now().Add(time.Hour)
	table.Died("request", "server-1", false, until)
	fmt.Println(table.Judge("request", time.Now()) == quarantine.Suspect)
	table.Died("request", "server-2", true, until)
	fmt.Println(table.Judge("request", time.Now()) == quarantine.Convicted)
	// Output:
	// true
	// true
}
