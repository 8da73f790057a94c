// Package service speaks to plain services: a POST with a body, answered whole.
package service

// CallsPath is where a plain service takes a call. It answers 200 with a body,
// or 4xx/5xx with a JSON error.
const CallsPath = "/v1/calls"

// Header names of a call.
const (
	HeaderRequestID = "Request-Id"
	HeaderClass     = "Call-Class"
)
