// Package service defines the HTTP API of plain services and probes whether such a
// service accepts connections. A plain service answers a POST with a complete
// response and serves no model.
package service

// CallsPath is the path of calls to a plain service (POST with a body). The
// response is 200 with a body, or 4xx or 5xx with a JSON error.
const CallsPath = "/v1/calls"

// Header names of a call.
const (
	HeaderRequestID = "Request-Id"
	HeaderClass     = "Call-Class"
)
