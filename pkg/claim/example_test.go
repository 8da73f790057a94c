package claim_test

import (
	"context"
	"fmt"
	"time"

	"almondreel.example/almondreel/pkg/claim"
)

func ExampleTable() {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	store := newMemoryStore() // open returns a condwrite.Store for a key
	table := claim.New(claim.Options{Open: store.open, Prefix: "claims/"})
	stopped := make(chan error, 1)
	go func() { stopped <- table.Run(ctx) }()

	now := time.Now()
	for _, token := range []string{"first", "repeat"} {
		e := claim.Entry{Token: token, ClaimedAt: now.UnixMilli(), EndsBy: now.Add(time.Minute).UnixMilli()}
		current, won, err := table.Claim(ctx, "posting-14", e)
		if err != nil {
			fmt.Println(err)
			return
		}
		if won {
			fmt.Println(token, "runs")
			_ = table.Settle(ctx, "posting-14", token, []byte("posted"))
			continue
		}
		fmt.Printf("%s gets %q\n", token, current.Result)
	}
	cancel()
	<-stopped
	// Output:
	// first runs
	// repeat gets "posted"
}
