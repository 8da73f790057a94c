package ledger_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/control"
	"almondreel.example/almondreel/internal/gateway"
	"almondreel.example/almondreel/internal/invoice"
	"almondreel.example/almondreel/internal/kv"
	"almondreel.example/almondreel/internal/ledger"
	"almondreel.example/almondreel/internal/outcome"
	standinkv "almondreel.example/almondreel/internal/standin/kv"
)

const shortTimeout = 300 * time.Millisecond

func startKV(t *testing.T) (*standinkv.Server, *kv.Client) {
	t.Helper()
	service := standinkv.New(standinkv.Options{})
	server := httptest.NewServer(service)
	t.Cleanup(server.Close)
	return service, kv.NewClient(server.URL)
}

func answeredRecord(id string) outcome.Record {
	return outcome.Record{RequestID: id, Organisation: "o", Class: "c", Outcome: outcome.NameAnswered, Tokens: 1, At: time.Now()}
}

func flushFor(l *ledger.Ledger, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	l.Flush(ctx)
}

func countRequests(t *testing.T, k *kv.Client) int64 {
	t.Helper()
	i, err := invoice.Read(context.Background(), k)
	require.NoError(t, err)
	var n int64
	for _, l := range i.Lines {
		n += l.Requests
	}
	return n
}

func TestBatchIsCountedOnceWhenWriteResponseIsLost(t *testing.T) {
	service, client := startKV(t)
	l := ledger.New("g1", client)
	l.Add(answeredRecord("a"))
	service.SetFaults(standinkv.Faults{LoseAnswersOneIn: 1})
	flushFor(l, shortTimeout)
	service.SetFaults(standinkv.Faults{})
	l.Add(answeredRecord("b"))
	flushFor(l, time.Second)
	require.Zero(t, l.Pending())
	require.Equal(t, int64(2), countRequests(t, client))
}

func TestBatchIsCountedOnceWhenWriteIsLate(t *testing.T) {
	service, client := startKV(t)
	l := ledger.New("g1", client)
	l.Add(answeredRecord("a"))
	service.SetFaults(standinkv.Faults{LateWriteMilliseconds: 600})
	flushFor(l, shortTimeout)
	service.SetFaults(standinkv.Faults{})
	l.Add(answeredRecord("b"))
	flushFor(l, time.Second)
	time.Sleep(time.Second)
	flushFor(l, time.Second)
	require.Zero(t, l.Pending())
	require.Equal(t, int64(2), countRequests(t, client))
}

// A gateway that shuts down during an outage must hand over all records,
// including a batch whose write was ambiguous, and none may be counted twice.
func TestRecordsAreHandedOverDuringOutage(t *testing.T) {
	service, client := startKV(t)
	leaving, remaining := ledger.New("g1", client), ledger.New("g2", client)
	handler, err := control.Handle(map[string]any{ledger.Name: remaining.Receiver()})
	require.NoError(t, err)
	mux := http.NewServeMux()
	mux.Handle(control.Path, handler)
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	gateways := []gateway.Peer{
		{Name: "gone", Address: "127.0.0.1:1"},
		{Name: "g2", Address: strings.TrimPrefix(server.URL, "http://")},
	}

	leaving.Add(answeredRecord("a"))
	service.SetFaults(standinkv.Faults{LoseAnswersOneIn: 1})
	flushFor(leaving, shortTimeout)
	service.SetFaults(standinkv.Faults{Down: true})
	leaving.Add(answeredRecord("b"))
	flushFor(leaving, shortTimeout)
	require.NoError(t, leaving.HandOver(context.Background(), gateways))
	require.NoError(t, leaving.HandOver(context.Background(), gateways), "a second call has nothing to hand over")
	require.Zero(t, leaving.Pending())

	remaining.Add(answeredRecord("c"))
	service.SetFaults(standinkv.Faults{})
	flushFor(remaining, time.Second)
	require.Zero(t, remaining.Pending())
	require.Equal(t, int64(3), countRequests(t, client))
}

func TestHandOverFailsWithoutAnotherGateway(t *testing.T) {
	service, client := startKV(t)
	l := ledger.New("g1", client)
	l.Add(answeredRecord("a"))
	service.SetFaults(standinkv.Faults{Down: true})
	flushFor(l, shortTimeout)
	require.Error(t, l.HandOver(context.Background(), nil))
	require.Equal(t, 1, l.Pending())
}
