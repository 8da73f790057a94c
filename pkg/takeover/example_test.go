package takeover_test

import (
	"fmt"
	"time"

	"almondreel.example/almondreel/pkg/takeover"
)

// Each member computes, without communication, when it may fetch a chunk.
func Example() {
	members := []string{"a", "b", "c"}
	availableAt := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	first := takeover.Rank("chunk 7", members)[0]
	turn := takeover.Turn(availableAt, takeover.Position("chunk 7", members, first), time.Second)
	fmt.Println(turn.Equal(availableAt))
	// Output: true
}
