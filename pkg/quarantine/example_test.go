package quarantine_test

import (
	"fmt"
	"time"

	"almondreel.example/almondreel/pkg/quarantine"
)

func ExampleTable() {
	table := quarantine.NewTable()
	until := time.Now().Add(time.Hour)
	table.RecordCrash("request", "server-1", false, until)
	fmt.Println(table.Verdict("request", time.Now()) == quarantine.Suspect)
	table.RecordCrash("request", "server-2", true, until)
	fmt.Println(table.Verdict("request", time.Now()) == quarantine.Quarantined)
	// Output:
	// true
	// true
}
