package stripe_test

import (
	"fmt"
	"time"

	"almondreel.example/almondreel/pkg/stripe"
)

// Each member finds, without a message, when it is its turn to draw a chunk.
func Example() {
	members := []string{"a", "b", "c"}
	opened := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	first := stripe.Rank("chunk 7", members)[0]
	turn := stripe.Turn(opened, stripe.Position("chunk 7", members, first), time.Second)
	fmt.Println(turn.Equal(opened))
	// Output: true
}
