// Package engine speaks to model engines: completions, load, state and orders.
//
// Messages are JSON over HTTP. Completions are OpenAI-style with server-sent
// events; the field names of orders and read-outs are this package's to adapt
// when another engine is met.
package engine

import "almondreel.example/almondreel/internal/manifest"

// Paths of an engine's API.
const (
	CompletionsPath = "/v1/completions" // POST Completion, answers Token events
	CancelPath      = "/v1/cancel"      // POST Cancel
	LoadPath        = "/v1/load"        // GET Load
	StatePath       = "/v1/state"       // GET State
	LoadModelPath   = "/v1/load_model"  // POST LoadModel, answers State
)

// Completion asks for tokens. ResumeFrom skips that many tokens of the same answer.
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

// Done is the data of the last event of a whole answer.
const Done = "[DONE]"

// Cancel ends a request.
type Cancel struct {
	RequestID string `json:"request_id"`
}

// Load is the engine's own view of its load, read with a lag.
type Load struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	Slots   int `json:"slots"` // requests that it batches at most
}

// State is what the engine serves and does.
type State struct {
	Digest        manifest.Digest `json:"digest"`         // served version; empty: none
	Loading       manifest.Digest `json:"loading"`        // version being loaded; empty: none
	FencingNumber uint64          `json:"fencing_number"` // of the last order taken
	Started       string          `json:"started"`        // changes when the engine restarts
}

// LoadModel orders the engine to read the weights at Source (a URL that
// answers all bytes), check that their SHA-256 is Whole, and serve them as Digest.
type LoadModel struct {
	Digest        manifest.Digest `json:"digest"`
	Whole         manifest.Digest `json:"whole"`
	Source        string          `json:"source"`
	FencingNumber uint64          `json:"fencing_number"`
}
