package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"almondreel.example/almondreel/internal/bounded"
	"almondreel.example/almondreel/internal/errs"
	"almondreel.example/almondreel/internal/peerconn"
)

const (
	readTimeout    = time.Second
	maxAnswerBytes = 1 << 20
	idleTimeout    = 30 * time.Second
)

// StatusError is a response of an engine with an unexpected status.
type StatusError struct {
	Code int
	Text string // response body
}

// Error returns the status and the response body.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d: %s", e.Code, e.Text) }

// Client reads an engine's state and load and sends it load orders. It is safe for
// concurrent use.
type Client struct {
	address string
	http    *http.Client
}

// NewClient returns a client of the engine at address (IP:port).
func NewClient(address string) *Client {
	transport := &http.Transport{MaxResponseHeaderBytes: bounded.MaxHeaderBytes, IdleConnTimeout: idleTimeout}
	return &Client{address: address, http: &http.Client{Transport: peerconn.NewTransport(transport)}}
}

// State reads the engine's state.
func (c *Client) State(ctx context.Context) (State, error) {
	var s State
	err := c.read(ctx, StatePath, &s)
	return s, errs.Wrap(err, "read state", c.address)
}

// Load reads the load that the engine reports.
func (c *Client) Load(ctx context.Context) (Load, error) {
	var l Load
	err := c.read(ctx, LoadPath, &l)
	return l, errs.Wrap(err, "read load", c.address)
}

func (c *Client) read(ctx context.Context, path string, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.address+path, nil)
	if err != nil {
		return err
	}
	return c.do(request, answer)
}

// LoadModel sends a load order and waits until it is finished or ctx ends. After an
// error other than *StatusError, the order may or may not take effect.
func (c *Client) LoadModel(ctx context.Context, order LoadModel) (State, error) {
	body, err := json.Marshal(order)
	if err != nil {
		return State{}, errs.Wrap(err, "encode load order", c.address)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.address+LoadModelPath, bytes.NewReader(body))
	if err != nil {
		return State{}, errs.Wrap(err, "send load order", c.address)
	}
	request.Header.Set("Content-Type", "application/json")
	var s State
	err = c.do(request, &s)
	return s, errs.Wrap(err, "send load order", c.address)
}

func (c *Client) do(request *http.Request, answer any) error {
	response, err := c.http.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	body := bounded.Reader(response.Body, maxAnswerBytes)
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(body)
		return &StatusError{Code: response.StatusCode, Text: strings.TrimSpace(string(text))}
	}
	return json.NewDecoder(body).Decode(answer)
}
