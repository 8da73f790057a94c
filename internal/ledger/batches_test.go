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
	standin "almondreel.example/almondreel/internal/standin/kv"
)

const short = 300 * time.Millisecond

func startService(t *testing.T) (*standin.Server, *kv.Client) {
	t.Helper()
	service := standin.New(standin.Options{})
	server := httptest.NewServer(service)
	t.Cleanup(server.Close)
	return service, kv.NewClient(server.URL)
}

func answered(id string) outcome.Record {
	return outcome.Record{RequestID: id, Organisation: "o", Class: "c", Outcome: outcome.NameAnswered, Tokens: 1, At: time.Now()}
}

func flush(l *ledger.Ledger, limit time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	l.Flush(ctx)
}

func requests(t *testing.T, k *kv.Client) int64 {
	t.Helper()
	i, err := invoice.Read(context.Background(), k)
	require.NoError(t, err)
	var n int64
	for _, l := range i.Lines {
		n += l.Requests
	}
	return n
}

func TestBatchIsCountedOnceWhenItsAnswerIsLost(t *testing.T) {
	service, client := startService(t)
	l := ledger.New("g1", client)
	l.Add(answered("a"))
	service.SetFaults(standin.Faults{LoseAnswersOneIn: 1})
	flush(l, short)
	service.SetFaults(standin.Faults{})
	l.Add(answered("b"))
	flush(l, time.Second)
	require.Zero(t, l.Waiting())
	require.Equal(t, int64(2), requests(t, client))
}

func TestBatchIsCountedOnceWhenItsWriteIsLate(t *testing.T) {
	service, client := startService(t)
	l := ledger.New("g1", client)
	l.Add(answered("a"))
	service.SetFaults(standin.Faults{LateWriteMilliseconds: 600})
	flush(l, short)
	service.SetFaults(standin.Faults{})
	l.Add(answered("b"))
	flush(l, time.Second)
	time.Sleep(time.Second)
	flush(l, time.Second)
	require.Zero(t, l.Waiting())
	require.Equal(t, int64(2), requests(t, client))
}

// A gateway that ends in an outage hands its records to another one.
func TestRecordsAreHandedOverInAnOutage(t *testing.T) {
	service, client := startService(t)
	leaving, staying := ledger.New("g1", client), ledger.New("g2", client)
	handler, err := control.Handle(map[string]any{ledger.Name: staying.Receiver()})
	require.NoError(t, err)
	mux := http.NewServeMux()
	mux.Handle(control.Path, handler)
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	peers := []gateway.Peer{
		{Name: "gone", Address: "127.0.0.1:1"},
		{Name: "g2", Address: strings.TrimPrefix(server.URL, "http://")},
	}

	leaving.Add(answered("a"))
	service.SetFaults(standin.Faults{LoseAnswersOneIn: 1})
	flush(leaving, short)
	service.SetFaults(standin.Faults{Down: true})
	leaving.Add(answered("b"))
	flush(leaving, short)
	require.NoError(t, leaving.HandOver(context.Background(), peers))
	require.NoError(t, leaving.HandOver(context.Background(), peers), "a repeat hands over nothing")
	require.Zero(t, leaving.Waiting())

	staying.Add(answered("c"))
	service.SetFaults(standin.Faults{})
	flush(staying, time.Second)
	require.Zero(t, staying.Waiting())
	require.Equal(t, int64(3), requests(t, client))
}

func TestHandOverFailsWithoutAnotherGateway(t *testing.T) {
	service, client := startService(t)
	l := ledger.New("g1", client)
	l.Add(answered("a"))
	service.SetFaults(standin.Faults{Down: true})
	flush(l, short)
	require.Error(t, l.HandOver(context.Background(), nil))
	require.Equal(t, 1, l.Waiting())
}
