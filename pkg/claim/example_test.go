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
	store := newMemory() // any compare-and-swap store, as settle.Store
	table := claim.New(claim.Options{Open: store.open, Prefix: "claims/"})
	ended := make(chan error, 1)
	go func() { ended <- table.Run(ctx) }()

	now := time.Now()
	for _, token := range []string{"first", "repeat"} {
		e := claim.Entry{Token: token, ClaimedAt: now.UnixMilli(), EndsBy: now.Add(time.Minute).UnixMilli()}
		held, won, err := table.Claim(ctx, "posting-14", e)
		if err != nil {
			fmt.Println(err)
			return
		}
		if won {
			fmt.Println(token, "runs")
			_ = table.Settle(ctx, "posting-14", token, []byte("posted"))
			continue
		}
		fmt.Printf("%s is told %q\n", token, held.Result)
	}
	cancel()
	<-ended
	// Output:
	// first runs
	// repeat is told "posted"
}
