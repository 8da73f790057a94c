// Package caller speaks to callers: OpenAI-style completions and plain calls over HTTP.
package caller

// Paths that callers use.
const (
	CompletionsPath = "/v1/completions" // POST; "model" names the class; answers server-sent events
	CallsPath       = "/v1/calls/"      // POST CallsPath + class; answers the plain service's body
	OutcomePath     = "/v1/outcomes/"   // GET OutcomePath + idempotency key; answers the Record
)

// Headers of a request.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderDeadline       = "Request-Deadline" // RFC 3339 time
)

// OutcomeEvent names the server-sent event that carries the outcome.Record,
// the last before "[DONE]".
const OutcomeEvent = "outcome"

// HeaderOutcome is the trailer (streams and plain answers) or header (refusals)
// that carries the outcome.Record as JSON.
const HeaderOutcome = "Almondreel-Outcome"
