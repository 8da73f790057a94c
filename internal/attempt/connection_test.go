package attempt_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/agent"
	"almondreel.example/almondreel/internal/atmostonce"
	"almondreel.example/almondreel/internal/attempt"
	"almondreel.example/almondreel/internal/gateway"
	"almondreel.example/almondreel/internal/operator"
	"almondreel.example/almondreel/internal/outcome"
)

// startAgent starts an agent that passes each connection to serve.
func startAgent(t *testing.T, serve func(conn net.Conn)) gateway.Member {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ended := make(chan struct{})
	t.Cleanup(func() { <-ended })
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		defer close(ended)
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				serve(conn)
			}()
		}
	}()
	return gateway.Member{Name: "agent", Address: l.Addr().String()}
}

// readDispatch reads a dispatch and returns its attempt.
func readDispatch(reader *bufio.Reader) (string, error) {
	r, err := http.ReadRequest(reader)
	if err != nil {
		return "", err
	}
	_, err = io.Copy(io.Discard, r.Body)
	return r.Header.Get(agent.HeaderAttempt), err
}

// callAnswer returns the whole response to a plain call.
func callAnswer(id string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: 200\r\nTransfer-Encoding: chunked\r\nTrailer: %s\r\n\r\n2\r\n{}\r\n0\r\n%s: %s\r\n\r\n",
		agent.HeaderAttempt, id, agent.HeaderStatus, agent.TrailerEnd, agent.TrailerEnd, agent.EndWhole)
}

func refusalAnswer(id string) string {
	return fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\n%s: %s\r\n%s: %s\r\nContent-Length: 0\r\n\r\n",
		agent.HeaderAttempt, id, agent.HeaderRefused, outcome.ReplicaBusy)
}

func runCall(client *atmostonce.Client, m gateway.Member) attempt.Result {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	a := &attempt.Attempt{
		Client:     client,
		ReportLoad: func(string, int, int) {},
		Request: attempt.Request{
			ID: "r", Body: []byte("{}"), Deadline: time.Now().Add(5 * time.Second),
			Class: operator.Class{Name: "lookups", Kind: operator.Plain, Idempotent: true},
		},
		Member:     m,
		Progress:   &attempt.Progress{},
		OnAccepted: func() {},
	}
	return a.Run(ctx)
}

// An agent's connection on which a refusal came once more must not be used again: each
// later request would get the response to the one before it.
func TestConnectionWithForeignResponseIsNotReused(t *testing.T) {
	m := startAgent(t, func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		late := "" // the response that is one request behind
		for n := 0; ; n++ {
			id, err := readDispatch(reader)
			if err != nil {
				return
			}
			answer := callAnswer(id)
			switch n {
			case 0:
				answer = refusalAnswer(id)
				late = answer
			default:
				answer, late = late, answer
			}
			if _, err := io.WriteString(conn, answer); err != nil {
				return
			}
		}
	})
	client := atmostonce.NewClient()
	defer client.Close()
	require.Equal(t, attempt.NotRun{Reason: outcome.ReplicaBusy}, runCall(client, m))
	require.IsType(t, attempt.Interrupted{}, runCall(client, m), "the refusal is of the first attempt")
	for range 8 {
		r := runCall(client, m)
		if _, interrupted := r.(attempt.Interrupted); interrupted {
			r = runCall(client, m)
		}
		require.IsType(t, attempt.NotRun{}, r, "on a new connection the agent refuses the first request")
	}
}
