package requests_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"almondreel.example/almondreel/internal/fleet"
	"almondreel.example/almondreel/internal/loadgen"
	"almondreel.example/almondreel/internal/pause"
	"almondreel.example/almondreel/internal/plannedstop"
	"almondreel.example/almondreel/pkg/client"
)

const (
	// callerKinds is the number of callers of each gateway.
	callerKinds = 8
	// unreadTime is the time after a request has begun in which its connection may be
	// closed without a response, if the request has not run and its gateway ends.
	unreadTime = 200 * time.Millisecond
	// refusedPause is the pause after a request that was not answered.
	refusedPause = 5 * time.Millisecond
	// slowReadBytes and slowReadPause are the size of reads of slow readers and the pause
	// before each.
	slowReadBytes = 256
	slowReadPause = 20 * time.Millisecond
)

// slowConnection reads slowly, a few bytes at a time.
type slowConnection struct{ net.Conn }

func (c slowConnection) Read(p []byte) (int, error) {
	time.Sleep(slowReadPause)
	return c.Conn.Read(p[:min(len(p), slowReadBytes)])
}

// dialer opens the connections of one caller. It has one at a time.
type dialer struct {
	slow     bool         // connections are read slowly
	openedAt atomic.Int64 // Unix time of the last connection in ns
}

func (d *dialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	d.openedAt.Store(time.Now().UnixNano())
	if d.slow {
		return slowConnection{c}, nil
	}
	return c, nil
}

// halfCloser sends each request over a connection of its own and closes its sending side
// once the request is written.
type halfCloser struct{}

func (halfCloser) RoundTrip(r *http.Request) (*http.Response, error) {
	c, err := (&net.Dialer{}).DialContext(r.Context(), "tcp", r.URL.Host)
	if err != nil {
		return nil, err
	}
	response, err := sendHalfClosed(c.(*net.TCPConn), r)
	if err != nil {
		_ = c.Close() // the request has failed already
		return nil, err
	}
	response.Body = connectionBody{response.Body, c}
	return response, nil
}

// sendHalfClosed sends a request, closes the sending side and reads the response's head.
func sendHalfClosed(c *net.TCPConn, r *http.Request) (*http.Response, error) {
	if deadline, ok := r.Context().Deadline(); ok {
		if err := c.SetDeadline(deadline); err != nil {
			return nil, err
		}
	}
	if err := r.Write(c); err != nil {
		return nil, err
	}
	if err := c.CloseWrite(); err != nil {
		return nil, err
	}
	return http.ReadResponse(bufio.NewReader(c), r)
}

// connectionBody is a response's body whose connection is closed with it.
type connectionBody struct {
	io.ReadCloser
	connection net.Conn
}

func (b connectionBody) Close() error { return errors.Join(b.ReadCloser.Close(), b.connection.Close()) }

// runCaller sends requests to one gateway until ctx ends, over a kept connection:
// completions (kinds 0 and 1), postings (2 and 3), requests that are refused, which make
// the gateway log (4), completions that are read slowly (5), or completions and postings
// over connections whose sending side is closed (6 and 7). Those of odd kinds make pauses.
func (s *plannedSoak) runCaller(ctx context.Context, g fleet.Gateway, name string, kind int) {
	d := &dialer{slow: kind == 5}
	transport := &http.Transport{DialContext: d.dial}
	defer transport.CloseIdleConnections()
	httpClient := &http.Client{Transport: transport}
	if kind >= 6 {
		httpClient.Transport = halfCloser{}
	}
	c := client.New("http://"+g.CallerAddress, s.Site.Organisations[0].Key, httpClient)
	r := s.newRand(3000 + kind)
	for n := 0; ctx.Err() == nil; n++ {
		sendCtx, cancel := context.WithTimeout(context.Background(), plannedDeadline)
		o := plannedOutcome{what: fmt.Sprintf("%s-%d", name, n), gateway: g.Name, halfClosed: kind >= 6, began: time.Now()}
		switch kind {
		case 2, 3, 7:
			o.body = fmt.Sprintf(`{"posting":"%s-%d"}`, name, n)
			o.response, o.err = c.Call(sendCtx, "settlement-postings", fmt.Sprint(name, "-", n), []byte(o.body))
		case 4:
			o.refused = true
			o.response, o.err = c.Complete(sendCtx, client.Completion{Class: "no-such-class", Prompt: "x", MaxTokens: 1})
		default:
			o.prompt, o.tokens = fmt.Sprintf("lot %s-%d", name, n), 1+r.IntN(60)
			o.response, o.err = c.Complete(sendCtx, client.Completion{Class: "auction-questions", Prompt: o.prompt, MaxTokens: o.tokens})
		}
		cancel()
		o.ended, o.connected = time.Now(), o.began
		if opened := time.Unix(0, d.openedAt.Load()); kind < 6 && opened.Before(o.began) {
			o.connected = opened
		}
		s.mu.Lock()
		s.outcomes = append(s.outcomes, o)
		s.mu.Unlock()
		if o.response.Record.Outcome != "Answered" {
			pause.For(ctx, refusedPause)
		}
		if o.err != nil || kind%2 == 1 {
			pause.For(ctx, time.Duration(r.Int64N(int64(plannedGap))))
		}
	}
}

// plannedOutcome is what a caller got for a request.
type plannedOutcome struct {
	what, gateway string
	body          string // of a posting; empty: none
	prompt        string // of a completion
	tokens        int
	refused       bool // the request is for a class that does not exist
	halfClosed    bool // its caller closed the sending side, which may withdraw it
	response      client.Response
	err           error
	// connected is when its connection was opened, if that was before it began. A caller that
	// reads slowly sees late that a gateway has closed a kept connection.
	connected, began, ended time.Time
}

// problem says in what o breaks the rules of planned work; empty: in nothing. runs is how
// often its body ran, and downtimes are those of its gateway.
func (o plannedOutcome) problem(runs int, downtimes []plannedstop.Downtime) string {
	var dial *net.OpError
	record := o.response.Record
	switch {
	case runs > 1:
		return fmt.Sprintf("ran %d times", runs)
	case runs > 0 && (o.err != nil || record.NotRun):
		return "ran without an answer, or with one that says not run"
	case errors.As(o.err, &dial) && dial.Op == "dial":
	case o.err != nil && len(o.response.Tokens) > 0:
		return "answer was cut"
	case o.err != nil && o.ended.Sub(o.began) > unreadTime:
		return "got no answer, late"
	case o.err != nil && !o.down(downtimes):
		return "got no answer from a gateway that was not stopped"
	case o.err != nil:
	case record.NotRun && len(o.response.Tokens) == 0:
	case o.halfClosed && record.Outcome == "Cancelled":
	case record.Outcome != "Answered" || o.refused:
		return "neither answered nor refused as not run"
	case o.prompt != "":
		return loadgen.CheckCompletion(o.response, o.prompt, o.tokens)
	}
	return ""
}

// down reports whether o's gateway was to end, or did not run, at some time of o's connection
// until o's end.
func (o plannedOutcome) down(downtimes []plannedstop.Downtime) bool {
	for _, d := range downtimes {
		if !o.ended.Before(d.From) && (d.To.IsZero() || o.connected.Before(d.To)) {
			return true
		}
	}
	return false
}
