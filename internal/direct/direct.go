// Package direct serves callers of a hosted site: it sends their requests
// straight to backend servers and ends each in one outcome.
package direct

import (
	"net/http"
	"time"

	"almondreel.example/almondreel/internal/outcome"
	"almondreel.example/almondreel/internal/site"
)

// Call is what a caller's headers say.
type Call struct {
	AttemptID    string    // new for each attempt of the caller
	Deadline     time.Time // zero: none
	Credential   string
	Model        string
	PromptTokens int
	AfterEvent   string
}

// Forward is what a backend server is told beside the caller's own headers.
type Forward struct {
	Server       string
	Organisation string
	Deadline     time.Time
	AfterEvent   string // resume after this event; empty: as the caller asked
	Version      int64  // refuse if other weights serve; 0: any
	Urgency      int    // 0 to 9, 0 first; below 0: not said
}

// Reply is what a backend server's headers say.
type Reply struct {
	AttemptID string
	Signed    bool // the server vouches for the answer
	NotRun    bool // the request did not run and will not
	Departs   bool // the server is about to end
	// RestUntil is the moment before which a server that turned the request away
	// wants no others; zero: it named none.
	RestUntil time.Time
}

// Dialect translates headers of callers and backend servers.
type Dialect interface {
	// Call reads a caller's headers at the time of arrival.
	Call(h http.Header, at time.Time) Call
	// Forward returns the headers for a backend server.
	Forward(caller http.Header, f Forward, now time.Time) http.Header
	// Reply reads a backend server's headers that came at a time.
	Reply(status int, h http.Header, at time.Time) Reply
	// Relay copies to a caller what a backend server answered; signed answers
	// keep their signature.
	Relay(to, from http.Header, signed bool)
	// Refuse sets the headers of a refusal that may come back at retryAt.
	Refuse(to http.Header, retryAt, now time.Time)
}

// View is what the gateway knows of the site. Its methods are safe for
// concurrent use.
type View interface {
	// Configuration returns nil until one is known.
	Configuration() *site.Configuration
	// Fresh reports whether the view is recent enough to turn callers away for
	// what it lacks.
	Fresh(now time.Time) bool
	// MinVersion is the oldest version of a model that may serve a request which
	// begins at a moment.
	MinVersion(model string, at time.Time) int64
	// EndsAt is the moment from which no request may begin on a version of a
	// model, and false if no newer one was named.
	EndsAt(model string, version int64) (time.Time, bool)
}

// status is the HTTP status of an outcome that is the gateway's own.
func status(o outcome.Outcome) int {
	switch o := o.(type) {
	case outcome.Refused:
		return refusedStatus(o.Reason)
	case outcome.Unknown:
		if o.Reason == outcome.DeadlinePassed {
			return http.StatusGatewayTimeout
		}
	}
	return http.StatusBadGateway
}

func refusedStatus(reason outcome.Reason) int {
	switch reason {
	case outcome.Unauthorised:
		return http.StatusUnauthorized
	case outcome.UnknownClass:
		return http.StatusNotFound
	case outcome.TooLarge:
		return http.StatusRequestEntityTooLarge
	case outcome.Malformed:
		return http.StatusBadRequest
	}
	return http.StatusServiceUnavailable
}
