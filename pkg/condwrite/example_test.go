package condwrite_test

import (
	"context"
	"fmt"

	"almondreel.example/almondreel/pkg/condwrite"
)

// The response is lost after the write took effect. The retry fails with a
// conflict, whose value shows that the change was made.
func ExampleDo() {
	store := &scriptedStore{results: []condwrite.SwapResult{
		condwrite.Ambiguous{Err: errFault},
		condwrite.Conflict{Current: condwrite.Entry{Value: []byte("change-1"), Revision: 2}},
	}}
	outcome := condwrite.Do(context.Background(), store, condwrite.Write{
		Value:    []byte("change-1"),
		Revision: 1,
		Presence: func(e condwrite.Entry) condwrite.Presence {
			if string(e.Value) == "change-1" {
				return condwrite.Present
			}
			return condwrite.Absent
		},
	})
	fmt.Printf("%T\n", outcome)
	// Output: condwrite.Accepted
}
