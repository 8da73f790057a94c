package client_test

import (
	"context"
	"fmt"
	"time"

	"almondreel.example/almondreel/pkg/client"
)

// A caller retries a call only if that cannot run it twice.
func Example() {
	c := client.New("http://127.0.0.1:7001", "credential", nil)
	response, err := c.Call(context.Background(), "settlement-postings", "sale-14", []byte(`{"lot":14}`))
	switch {
	case err != nil:
		fmt.Println("retry with the same idempotency key:", err)
	case response.Record.NotRun && !response.Record.RetryAt.IsZero():
		fmt.Println("retry in", time.Until(response.Record.RetryAt))
	default:
		fmt.Println(response.Record.Outcome, string(response.Body))
	}
}
