package settle_test

import (
	"context"
	"fmt"

	"almondreel.example/almondreel/pkg/settle"
)

// An answer is lost after the write took effect; repeating the same write meets
// a newer revision, and its value shows the change.
func ExampleDo() {
	store := &answers{list: []settle.Answer{
		settle.Lost{Err: errFault},
		settle.Conflict{Current: settle.Entry{Value: []byte("change-1"), Revision: 2}},
	}}
	outcome := settle.Do(context.Background(), store, settle.Write{
		Value:    []byte("change-1"),
		Revision: 1,
		Trace: func(e settle.Entry) settle.Trace {
			if string(e.Value) == "change-1" {
				return settle.Present
			}
			return settle.Absent
		},
	})
	fmt.Printf("%T\n", outcome)
	// Output: settle.Accepted
}
