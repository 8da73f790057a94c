package ledger_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/invoice"
	"almondreel.example/almondreel/internal/kv"
	"almondreel.example/almondreel/internal/ledger"
	"almondreel.example/almondreel/internal/outcome"
	standinkv "almondreel.example/almondreel/internal/standin/kv"
)

func newRecord(n int, o outcome.Outcome) outcome.Record {
	r := outcome.NewRecord(o)
	r.RequestID = fmt.Sprint(n)
	r.Organisation, r.Class = "north", "questions"
	return r
}

func TestEveryRecordReachesTheInvoiceOnce(t *testing.T) {
	service := standinkv.New(standinkv.Options{})
	server := httptest.NewServer(service)
	defer server.Close()
	client := kv.NewClient(server.URL)
	l := ledger.New("g1", client)
	ctx := context.Background()
	const count = 12000
	add := func() {
		for i := range count {
			l.Add(newRecord(i, outcome.Answered{Tokens: 3}))
		}
		l.Add(newRecord(count, outcome.Refused{Reason: outcome.QueueFull}))
		repeat := newRecord(count, outcome.Answered{Tokens: 3})
		repeat.Repeat = true
		l.Add(repeat)
	}
	service.SetFaults(standinkv.Faults{Down: true})
	add()
	add() // exceeds the records kept individually
	downCtx, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
	l.Flush(downCtx)
	cancel()
	require.NotZero(t, l.Pending())
	require.LessOrEqual(t, l.Pending(), 24000)

	service.SetFaults(standinkv.Faults{LoseAnswersOneIn: 2})
	require.Eventually(t, func() bool {
		l.Flush(ctx)
		return l.Pending() == 0
	}, 20*time.Second, 10*time.Millisecond)
	service.SetFaults(standinkv.Faults{})

	all, err := invoice.Read(ctx, client)
	require.NoError(t, err)
	require.Len(t, all.Lines, 1)
	line := all.Lines[0]
	require.EqualValues(t, 2*count+2, line.Requests)
	require.EqualValues(t, 2*count, line.Outcomes[outcome.NameAnswered])
	require.EqualValues(t, 2, line.Reasons["Refused.QueueFull"])
	require.EqualValues(t, 6*count, line.Tokens)
	require.Empty(t, all.For("south").Lines)
}
