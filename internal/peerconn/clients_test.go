package peerconn_test

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/atmostonce"
	"almondreel.example/almondreel/internal/control"
	"almondreel.example/almondreel/internal/engine"
	"almondreel.example/almondreel/internal/instances"
	"almondreel.example/almondreel/internal/kv"
	"almondreel.example/almondreel/internal/manifest"
	"almondreel.example/almondreel/internal/peer"
	"almondreel.example/almondreel/internal/source"
	"almondreel.example/almondreel/pkg/client"
)

// call is a call to a peer and an answer with which it succeeds.
type call struct {
	status, fields, body string
	make                 func(ctx context.Context, address string) error
}

// answer returns the answer with other text in place of the status, or with more lines at
// the start of the fields or at their end.
func (c call) answer(status, before, after string) string {
	if status == "" {
		status = c.status
	}
	return "HTTP/1.1 " + status + "\r\nServer: s\r\n" + before + c.fields + after + "\r\n" + c.body
}

const answered = `{"Outcome":"Answered"}`

// plainCall returns a call that succeeds with the body.
func plainCall(body string, do func(ctx context.Context, address string) error) call {
	return call{"200 OK", fmt.Sprintf("Content-Length: %d\r\n", len(body)), body, do}
}

// calls returns the calls that the programs on operators' own instances make, by peer and
// content.
func calls(t *testing.T) map[string]call {
	t.Helper()
	all := weightCalls(t)
	maps.Copy(all, stateCalls())
	maps.Copy(all, requestCalls())
	return all
}

// weightCalls returns the calls for manifests and chunks.
func weightCalls(t *testing.T) map[string]call {
	t.Helper()
	m, err := manifest.Build("m", "v1", strings.NewReader("weights"), 7)
	require.NoError(t, err)
	text := string(m.Encode())
	agent := func(body string, do func(context.Context, *peer.Client) error) call {
		return plainCall(body, func(ctx context.Context, address string) error {
			transport := peer.NewTransport("north", nil)
			defer transport.Close()
			c := peer.NewClient(address, transport)
			defer c.Close()
			return do(ctx, c)
		})
	}
	origin := func(address string) *source.Client { return source.NewClient(source.Origin, "http://"+address) }
	return map[string]call{
		"origin's manifest": plainCall(text, func(ctx context.Context, address string) error {
			_, err := origin(address).Manifest(ctx, "m", "v1", m.Digest())
			return err
		}),
		"origin's latest manifest": plainCall(text, func(ctx context.Context, address string) error {
			_, err := origin(address).Latest(ctx, "m", "v1")
			return err
		}),
		"origin's chunk": plainCall("weights", func(ctx context.Context, address string) error {
			_, err := origin(address).Chunk(ctx, "m", "v1", m.Chunks[0], nil)
			return err
		}),
		"agent's manifest": agent(text, func(ctx context.Context, c *peer.Client) error {
			_, err := c.Manifest(ctx, m.Digest())
			return err
		}),
		"agent's chunk": agent("weights", func(ctx context.Context, c *peer.Client) error {
			_, err := c.Chunk(ctx, m.Chunks[0])
			return err
		}),
	}
}

// stateCalls returns the calls for state: of engines, the key-value store and the list of
// instances.
func stateCalls() map[string]call {
	store := func(body string, do func(context.Context, *kv.Client) error) call {
		return plainCall(body, func(ctx context.Context, address string) error { return do(ctx, kv.NewClient("http://"+address)) })
	}
	return map[string]call{
		"engine's state": plainCall("{}", func(ctx context.Context, address string) error {
			_, err := engine.NewClient(address).State(ctx)
			return err
		}),
		"engine's load": plainCall("{}", func(ctx context.Context, address string) error {
			_, err := engine.NewClient(address).Load(ctx)
			return err
		}),
		"engine's order": plainCall("{}", func(ctx context.Context, address string) error {
			_, err := engine.NewClient(address).LoadModel(ctx, engine.LoadModel{})
			return err
		}),
		"store's entry": store("{}", func(ctx context.Context, c *kv.Client) error {
			_, err := c.Get(ctx, "k")
			return err
		}),
		"store's swap": store(`{"Key":"k","Revision":7}`, func(ctx context.Context, c *kv.Client) error {
			_, err := c.Swap(ctx, kv.Swap{Key: "k", Value: []byte("v")})
			return err
		}),
		"store's lease": store("{}", func(ctx context.Context, c *kv.Client) error {
			_, err := c.KeepAlive(ctx, "l")
			return err
		}),
		"list of instances": plainCall(`{"Instances":[]}`, func(ctx context.Context, address string) error {
			_, err := instances.NewClient("http://" + address).List(ctx)
			return err
		}),
	}
}

// requestCalls returns the calls that belong to a request, and one that begins net/rpc.
func requestCalls() map[string]call {
	return map[string]call{
		"answer to a request": plainCall("{}", func(ctx context.Context, address string) error {
			c := atmostonce.NewClient()
			defer c.Close()
			response, err := c.Send(ctx, atmostonce.Request{Address: address, Path: "/", Body: []byte("{}")})
			if err != nil {
				return err
			}
			defer response.Body.Close()
			_, err = io.ReadAll(response.Body)
			return err
		}),
		"gateway's refusal": {"503 Service Unavailable", "Almondreel-Outcome: " + `{"Outcome":"Refused"}` + "\r\n", "", func(ctx context.Context, address string) error {
			_, err := client.New("http://"+address, "key", nil).Complete(ctx, client.Completion{Class: "c"})
			return err
		}},
		"gateway's answer": {
			"200 OK", "Transfer-Encoding: chunked\r\nTrailer: Almondreel-Outcome\r\n", "2\r\n{}\r\n0\r\nAlmondreel-Outcome: " + answered + "\r\n\r\n",
			func(ctx context.Context, address string) error {
				_, err := client.New("http://"+address, "key", &http.Client{}).Call(ctx, "c", "", []byte("{}"))
				return err
			},
		},
		"connection for net/rpc": {"200 Connected to Go RPC", "", "", func(ctx context.Context, address string) error {
			c := control.NewClient(address)
			defer c.Close()
			return c.Connect(ctx, time.Second)
		}},
	}
}

// run makes the call against a peer that sends the answer.
func (c call) run(t *testing.T, answer string) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	return c.make(ctx, serve(t, answer))
}

// A peer answers with a status that is none of a response, such as 000. The call must not
// take that for an answer.
func TestCallsFailOnStatusOutOfRange(t *testing.T) {
	for name, c := range calls(t) {
		require.NoError(t, c.run(t, c.answer("", "", "")), name)
		for _, status := range []string{"000 Odd", "099 Odd", "+20 Odd", "101 Switching Protocols", "600 Odd", "999 Odd"} {
			t.Run(name+"/"+status, func(t *testing.T) { require.Error(t, c.run(t, c.answer(status, "", ""))) })
		}
	}
}

// The store may have made a write to which it answers with status 000, so the write must
// not count as refused.
func TestSwapAnsweredWithStatusOutOfRangeIsAmbiguous(t *testing.T) {
	for _, status := range []string{"000 Odd", "099 Odd", "101 Switching Protocols", "600 Odd"} {
		address := serve(t, "HTTP/1.1 "+status+"\r\nContent-Length: 2\r\n\r\n{}")
		_, err := kv.NewClient("http://"+address).Swap(t.Context(), kv.Swap{Key: "k"})
		var ambiguous *kv.Ambiguous
		require.ErrorAs(t, err, &ambiguous, status)
	}
}

// invalidFields are lines of a head in which the name of a field contains a blank or a
// control byte.
var invalidFields = []string{
	"X Field: v", "X-Field : v", " X-Field: v", "\tX-Field: v", "X-Field\t: v", "X\tField: v", "X-\x01Field: v", "X-Field\x00: v",
	"\x7fX-Field: v", "X-Field\r: v", "X-Field\v: v", " : v", " ", "Content-Length : 2", " Content-Length: 2",
	"Transfer-Encoding : chunked", "\tTransfer-Encoding: chunked",
}

// A peer answers with a field whose name contains a blank or a control byte. net/http
// ignores such a field, or takes it for a part of the one before, also if it frames the body.
func TestCallsFailOnInvalidFieldName(t *testing.T) {
	for name, c := range calls(t) {
		if name == "gateway's answer" {
			continue // read by a client of the caller's own, see below
		}
		for _, line := range invalidFields {
			t.Run(fmt.Sprintf("%s/%q", name, line), func(t *testing.T) {
				require.Error(t, c.run(t, c.answer("", line+"\r\n", "")), "not the last field")
				require.Error(t, c.run(t, c.answer("", "", line+"\r\n")), "the last field")
			})
		}
	}
}

// The caller's own HTTP client does not tell of a line that begins with a blank.
func TestAnswerToCallersOwnClientFailsOnInvalidFieldName(t *testing.T) {
	c := calls(t)["gateway's answer"]
	for _, line := range []string{"X Field: v", "X-Field : v", "X-\x01Field: v", "Content-Length : 2"} {
		require.Error(t, c.run(t, c.answer("", line+"\r\n", "")), "%q", line)
	}
}
