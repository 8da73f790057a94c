// Package client is the Go client of the gateways: it sends completions and
// plain calls and returns the responses with the outcome that the gateway
// reports.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	sse "github.com/tmaxmax/go-sse"

	"almondreel.example/almondreel/internal/bounded"
	"almondreel.example/almondreel/internal/peerconn"
)

const (
	completionsPath   = "/v1/completions"
	callsPath         = "/v1/calls/"
	headerOutcome     = "Almondreel-Outcome"
	headerIdempotency = "Idempotency-Key"
	outcomeEvent      = "outcome"
	doneData          = "[DONE]"
	maxResponseBytes  = 16 << 20
)

// ErrNoOutcome reports a response that ended without an outcome. It is
// incomplete, and the caller cannot tell whether the request ran.
var ErrNoOutcome = errors.New("response ended without an outcome")

// Record is the outcome of a request, as reported by the gateway.
type Record struct {
	RequestID string    `json:"RequestID"`
	Class     string    `json:"Class"`
	Outcome   string    `json:"Outcome"` // Answered, Refused, Failed, Unknown or Cancelled
	Reason    string    `json:"Reason"`
	NotRun    bool      `json:"NotRun"`  // the request certainly did not run
	RetryAt   time.Time `json:"RetryAt"` // zero if a retry will not help
	Digest    string    `json:"Digest"`
	Tokens    int       `json:"Tokens"`
}

// Completion is a request to a class of model work. Complete sets Stream.
type Completion struct {
	Class     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// Token is one token of a response and the digest of the model version that
// generated it.
type Token struct {
	Digest string `json:"digest"`
	Index  int    `json:"index"`
	Text   string `json:"text"`
}

// Response is what the caller received. It is complete only if Record.Outcome
// is Answered.
type Response struct {
	Record       Record
	Tokens       []Token
	Body         []byte    // body of a plain call
	FirstTokenAt time.Time // zero if there is no token
}

// Client sends the requests of one organisation to one gateway.
type Client struct {
	base string
	key  string
	http *http.Client
}

// New returns a client for the gateway at base (http://IP:port) that
// authenticates with key. A nil httpClient means one like http.DefaultClient.
func New(base, key string, httpClient *http.Client) *Client {
	if httpClient == nil {
		httpClient = peerconn.DefaultClient
	}
	return &Client{base: base, key: key, http: httpClient}
}

// Complete sends a completion and reads the streamed response to its end. If it
// returns an error, the outcome of the request is unknown.
func (c *Client) Complete(ctx context.Context, request Completion) (Response, error) {
	request.Stream = true
	body, err := json.Marshal(request)
	if err != nil {
		return Response{}, err
	}
	response, err := c.post(ctx, completionsPath, "", body)
	if err != nil {
		return Response{}, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return readOutcomeHeader(response)
	}
	return readStream(response.Body)
}

// Call sends a call to a class of plain work. Classes whose calls run at most
// once require an idempotencyKey; for others it may be empty. If Call returns
// an error, the outcome of the call is unknown.
func (c *Client) Call(ctx context.Context, class, idempotencyKey string, body []byte) (Response, error) {
	response, err := c.post(ctx, callsPath+class, idempotencyKey, body)
	if err != nil {
		return Response{}, err
	}
	defer response.Body.Close()
	if response.Header.Get(headerOutcome) != "" {
		return readOutcomeHeader(response)
	}
	text, err := bounded.ReadAll(response.Body, maxResponseBytes)
	if err != nil {
		return Response{}, fmt.Errorf("read response of %s: %w", class, err)
	}
	record, err := parseRecord([]byte(response.Trailer.Get(headerOutcome)))
	return Response{Record: record, Body: text}, err
}

func (c *Client) post(ctx context.Context, path, idempotencyKey string, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+c.key)
	request.Header.Set("Content-Type", "application/json")
	if idempotencyKey != "" {
		request.Header.Set(headerIdempotency, idempotencyKey)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, err
	}
	if err := peerconn.Check(response); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	return response, nil
}

// readOutcomeHeader reads the outcome of a request that got no result; such a
// response has it in the header instead of the trailer.
func readOutcomeHeader(response *http.Response) (Response, error) {
	record, err := parseRecord([]byte(response.Header.Get(headerOutcome)))
	return Response{Record: record}, err
}

func parseRecord(text []byte) (Record, error) {
	if len(text) == 0 {
		return Record{}, ErrNoOutcome
	}
	var r Record
	if err := json.Unmarshal(text, &r); err != nil {
		return Record{}, fmt.Errorf("decode outcome: %w", err)
	}
	return r, nil
}

func readStream(body io.Reader) (Response, error) {
	var r Response
	var hasOutcome, done bool
	for e, err := range sse.Read(body, nil) {
		if err != nil {
			return r, fmt.Errorf("read response stream: %w", err)
		}
		switch {
		case e.Type == outcomeEvent:
			if r.Record, err = parseRecord([]byte(e.Data)); err != nil {
				return r, err
			}
			hasOutcome = true
		case e.Data == doneData:
			done = true
		default:
			if err := r.addToken(e.Data); err != nil {
				return r, err
			}
		}
	}
	if !hasOutcome || (r.Record.Outcome == "Answered") != done {
		return r, ErrNoOutcome
	}
	return r, nil
}

func (r *Response) addToken(data string) error {
	var t Token
	if err := json.Unmarshal([]byte(data), &t); err != nil {
		return fmt.Errorf("decode token: %w", err)
	}
	if len(r.Tokens) == 0 {
		r.FirstTokenAt = time.Now()
	}
	r.Tokens = append(r.Tokens, t)
	return nil
}
