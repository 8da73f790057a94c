// Package client sends requests to almondreel's gateways and reads their outcomes.
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
)

const (
	completionsPath   = "/v1/completions"
	callsPath         = "/v1/calls/"
	headerOutcome     = "Almondreel-Outcome"
	headerIdempotency = "Idempotency-Key"
	outcomeEvent      = "outcome"
	doneData          = "[DONE]"
	maxAnswerBytes    = 16 << 20
)

// ErrNoOutcome reports an answer that ended without stating its outcome, so it
// is not whole.
var ErrNoOutcome = errors.New("answer ended without an outcome")

// Record is a request's outcome.
type Record struct {
	RequestID string    `json:"RequestID"`
	Class     string    `json:"Class"`
	Outcome   string    `json:"Outcome"` // Answered, Refused, Failed, Unknown or Cancelled
	Reason    string    `json:"Reason"`
	NotRun    bool      `json:"NotRun"`  // the request was certainly not run
	RetryAt   time.Time `json:"RetryAt"` // zero: sending it again will not help
	Digest    string    `json:"Digest"`
	Tokens    int       `json:"Tokens"`
}

// Completion is a request to a class of model work.
type Completion struct {
	Class     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// Token is one token of an answer and the version that generated it.
type Token struct {
	Digest string `json:"digest"`
	Index  int    `json:"index"`
	Text   string `json:"text"`
}

// Answer is what reached the caller. It is whole only if Record.Outcome is Answered.
type Answer struct {
	Record       Record
	Tokens       []Token
	Body         []byte // of a plain call
	FirstTokenAt time.Time
}

// Client sends requests of one organisation to one gateway.
type Client struct {
	base string
	key  string
	http *http.Client
}

// New returns a client for the gateway at base (http://IP:port). A nil
// httpClient uses http.DefaultClient.
func New(base, key string, httpClient *http.Client) *Client {
	if httpClient == nil {
		httpClient = http.DefaultClient
	}
	return &Client{base: base, key: key, http: httpClient}
}

// Complete sends a completion and reads its answer to the end. An error says
// that the outcome is not known to the caller.
func (c *Client) Complete(ctx context.Context, request Completion) (Answer, error) {
	request.Stream = true
	body, err := json.Marshal(request)
	if err != nil {
		return Answer{}, err
	}
	response, err := c.post(ctx, completionsPath, "", body)
	if err != nil {
		return Answer{}, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return refusal(response)
	}
	return readStream(response.Body)
}

// Call sends a call to a class of plain work. Classes whose calls run at most
// once need an idempotencyKey.
func (c *Client) Call(ctx context.Context, class, idempotencyKey string, body []byte) (Answer, error) {
	response, err := c.post(ctx, callsPath+class, idempotencyKey, body)
	if err != nil {
		return Answer{}, err
	}
	defer response.Body.Close()
	if response.Header.Get(headerOutcome) != "" {
		return refusal(response)
	}
	text, err := bounded.ReadAll(response.Body, maxAnswerBytes)
	if err != nil {
		return Answer{}, fmt.Errorf("read answer of %s: %w", class, err)
	}
	record, err := parseRecord([]byte(response.Trailer.Get(headerOutcome)))
	return Answer{Record: record, Body: text}, err
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
	return c.http.Do(request)
}

func refusal(response *http.Response) (Answer, error) {
	record, err := parseRecord([]byte(response.Header.Get(headerOutcome)))
	return Answer{Record: record}, err
}

func parseRecord(text []byte) (Record, error) {
	if len(text) == 0 {
		return Record{}, ErrNoOutcome
	}
	var r Record
	if err := json.Unmarshal(text, &r); err != nil {
		return Record{}, fmt.Errorf("outcome: %w", err)
	}
	return r, nil
}

func readStream(body io.Reader) (Answer, error) {
	var a Answer
	var recorded, done bool
	for e, err := range sse.Read(body, nil) {
		if err != nil {
			return a, fmt.Errorf("read answer: %w", err)
		}
		switch {
		case e.Type == outcomeEvent:
			if a.Record, err = parseRecord([]byte(e.Data)); err != nil {
				return a, err
			}
			recorded = true
		case e.Data == doneData:
			done = true
		default:
			if err := a.addToken(e.Data); err != nil {
				return a, err
			}
		}
	}
	if !recorded || (a.Record.Outcome == "Answered") != done {
		return a, ErrNoOutcome
	}
	return a, nil
}

func (a *Answer) addToken(data string) error {
	var t Token
	if err := json.Unmarshal([]byte(data), &t); err != nil {
		return fmt.Errorf("token: %w", err)
	}
	if len(a.Tokens) == 0 {
		a.FirstTokenAt = time.Now()
	}
	a.Tokens = append(a.Tokens, t)
	return nil
}
