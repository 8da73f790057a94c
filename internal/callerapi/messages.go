// Package callerapi is the gateway's HTTP API for callers: OpenAI-style completions
// and plain calls. It authenticates and validates requests, dispatches them and
// reports the outcome of each.
package callerapi

// Paths of the API.
const (
	CompletionsPath = "/v1/completions" // POST; "model" names the class; responds with server-sent events
	CallsPath       = "/v1/calls/"      // POST CallsPath + class; responds with the plain service's body
	OutcomePath     = "/v1/outcomes/"   // GET OutcomePath + idempotency key; responds with the outcome.Record
)

// Request headers.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderDeadline       = "Request-Deadline" // RFC 3339 time
)

// OutcomeEvent is the type of the server-sent event that carries the
// outcome.Record. It is the last event before "[DONE]".
const OutcomeEvent = "outcome"

// HeaderOutcome carries the outcome.Record as JSON: as a trailer of streams and of
// plain services' responses, and as a header of responses without either.
const HeaderOutcome = "Almondreel-Outcome"
