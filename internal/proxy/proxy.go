// Package proxy is the reverse proxy of a gateway on a hosting platform. It
// forwards callers' requests to backend servers, retries them where that is safe,
// and ends each request in exactly one outcome.
package proxy

import (
	"net/http"
	"time"

	"almondreel.example/almondreel/internal/outcome"
	"almondreel.example/almondreel/internal/site"
)

// RequestInfo is the information in the headers of a caller's request.
type RequestInfo struct {
	AttemptID    string    // new for each attempt of the caller
	Deadline     time.Time // zero: none
	Credential   string
	Model        string
	PromptTokens int
	// MaxAnswerTokens bounds the answer, and AnswerTokens is the caller's estimate of it,
	// which is often far off; 0: unknown.
	MaxAnswerTokens int
	AnswerTokens    int
	SharedParts     []string // IDs of the parts of the prompt that other requests may share, in order
	AfterEvent      string   // resume the stream after this event ID; empty: from the start
}

// ForwardInfo is the information that a backend server gets in addition to the caller's
// own headers.
type ForwardInfo struct {
	Server       string
	Organisation string
	Deadline     time.Time
	AfterEvent   string // resume after this event ID; empty: as the caller asked
	Version      int64  // the server refuses if it serves another version; 0: any
	Urgency      int    // 0 to 9, 0 is the most urgent; below 0: not sent
}

// ResponseInfo is the information in the headers of a backend server's response.
type ResponseInfo struct {
	AttemptID string
	Signed    bool // the response carries the server's signature
	NotRun    bool // the request did not run and will not
	Departing bool // the server is about to shut down
	// RateLimited says that the server accepts only RequestsPerSecond from all gateways
	// together.
	RateLimited       bool
	RequestsPerSecond float64
	// BusyUntil is the time until which a server that rejected the request is to
	// receive no others; zero: the response gives none.
	BusyUntil time.Time
	// ColdUntil is the time until which the server is cold; zero: the response gives none.
	ColdUntil time.Time
}

// HeaderCodec translates between the types of this package and the HTTP headers of
// the hosting platform.
type HeaderCodec interface {
	// ParseRequest reads the headers of a request that arrived at the time at.
	ParseRequest(h http.Header, at time.Time) RequestInfo
	// BackendHeader returns the headers of the request to a backend server.
	BackendHeader(caller http.Header, f ForwardInfo, now time.Time) http.Header
	// ParseResponse reads the headers of a response that arrived at the time at.
	ParseResponse(status int, h http.Header, at time.Time) ResponseInfo
	// CopyResponseHeader copies a backend server's response headers to the caller's
	// response. It keeps the signature only if signed is true.
	CopyResponseHeader(to, from http.Header, signed bool)
	// SetRefusalHeader sets the headers of a refusal. The caller may retry at
	// retryAt; zero: a retry will not help.
	SetRefusalHeader(to http.Header, retryAt, now time.Time)
}

// View is the gateway's copy of the site's state: configuration and model
// versions. Its methods are safe for concurrent use.
type View interface {
	// Configuration returns nil until the first configuration has been read.
	Configuration() *site.Configuration
	// Fresh reports whether the view is recent enough to refuse a request because
	// its route or credential is not in it.
	Fresh(now time.Time) bool
	// MinVersion returns the oldest version of a model that may serve a request
	// that begins at the time at.
	MinVersion(model string, at time.Time) int64
}

// statusCode returns the HTTP status of an outcome that the gateway, not a backend
// server, reports to the caller.
func statusCode(o outcome.Outcome) int {
	switch o := o.(type) {
	case outcome.Refused:
		return refusalStatusCode(o.Reason)
	case outcome.Unknown:
		if o.Reason == outcome.DeadlinePassed {
			return http.StatusGatewayTimeout
		}
	}
	return http.StatusBadGateway
}

func refusalStatusCode(reason outcome.Reason) int {
	switch reason {
	case outcome.Unauthorised:
		return http.StatusUnauthorized
	case outcome.UnknownClass:
		return http.StatusNotFound
	case outcome.TooLarge:
		return http.StatusRequestEntityTooLarge
	case outcome.Malformed, outcome.CallerBodyIncomplete:
		return http.StatusBadRequest
	}
	return http.StatusServiceUnavailable
}
