package client_test

import (
	"context"
	"fmt"
	"time"

	"almondreel.example/almondreel/pkg/client"
)

// A caller sends a request again only when that cannot run it twice.
func Example() {
	c := client.New("http://127.0.0.1:7001", "credential", nil)
	a, err := c.Call(context.Background(), "settlement-postings", "sale-14", []byte(`{"lot":14}`))
	switch {
	case err != nil:
		fmt.Println("ask again with the same key:", err)
	case a.Record.NotRun && !a.Record.RetryAt.IsZero():
		fmt.Println("send again in", time.Until(a.Record.RetryAt))
	default:
		fmt.Println(a.Record.Outcome, string(a.Body))
	}
}
