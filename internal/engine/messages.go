// Package engine is the client of model engines, with the messages of their HTTP
// API in JSON: completions, cancellation, load, state and load orders.
//
// Completions follow the OpenAI API and are streamed as server-sent events. The
// field names of the other messages are specific to one engine and are adapted in
// this package to support another one.
package engine

import "almondreel.example/almondreel/internal/manifest"

// Paths of an engine's API.
const (
	CompletionsPath = "/v1/completions" // POST Completion, returns Token events
	CancelPath      = "/v1/cancel"      // POST Cancel
	LoadPath        = "/v1/load"        // GET Load
	StatePath       = "/v1/state"       // GET State
	LoadModelPath   = "/v1/load_model"  // POST LoadModel, returns State
)

// Completion requests tokens. ResumeFrom is the number of the answer's first tokens
// to skip, which an earlier attempt has already sent.
type Completion struct {
	Model      string `json:"model"`
	Prompt     string `json:"prompt"`
	MaxTokens  int    `json:"max_tokens"`
	Stream     bool   `json:"stream"`
	Priority   int    `json:"priority,omitempty"`
	RequestID  string `json:"request_id,omitempty"`
	ResumeFrom int    `json:"resume_from,omitempty"`
}

// Token is one server-sent event of an answer. The last event's data is Done.
type Token struct {
	RequestID string          `json:"id"`
	Digest    manifest.Digest `json:"digest"`
	Index     int             `json:"index"`
	Text      string          `json:"text"`
	Finish    string          `json:"finish_reason,omitempty"` // "stop" on the last token
}

// Done is the data of the last event of a complete answer.
const Done = "[DONE]"

// Cancel cancels a running or waiting request.
type Cancel struct {
	RequestID string `json:"request_id"`
}

// Load is the load that the engine reports, in requests. It lags behind the actual
// load.
type Load struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	Slots   int `json:"slots"` // maximum batch size
}

// State describes which version the engine serves and which it loads.
type State struct {
	Digest        manifest.Digest `json:"digest"`         // version being served; empty: none
	Loading       manifest.Digest `json:"loading"`        // version being loaded; empty: none
	FencingNumber uint64          `json:"fencing_number"` // of the last load order accepted
	Started       string          `json:"started"`        // changes when the engine restarts
}

// LoadModel is a load order: the engine reads the weights from the URL Source, which
// returns all their bytes, checks that their SHA-256 is Whole, and serves them as
// Digest. FencingNumber lets the engine refuse orders of an outdated sender.
type LoadModel struct {
	Digest        manifest.Digest `json:"digest"`
	Whole         manifest.Digest `json:"whole"`
	Source        string          `json:"source"`
	FencingNumber uint64          `json:"fencing_number"`
}
