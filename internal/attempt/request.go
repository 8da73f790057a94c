// Package attempt sends one request once to one agent and says how that ended.
//
// An attempt is Declined (not run), Whole, Broken (it may have run) or Gone (the
// caller left). Whether the request is sent again is for its owner to decide.
package attempt

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"almondreel.example/almondreel/internal/engine"
	"almondreel.example/almondreel/internal/manifest"
	"almondreel.example/almondreel/internal/operator"
)

const affinityBytes = 256 // of the prompt that decide where it prefers to run

// Request is one request of a caller, checked.
type Request struct {
	ID           string
	Organisation string
	Weight       int // the organisation's share; 0 means 1
	Class        operator.Class
	Key          string // idempotency key; may be empty
	Body         []byte
	Prompt       string // of a completion
	Tokens       int    // that a completion may generate at most; 0 for a plain call
	Deadline     time.Time
	Fingerprint  string
}

// Fingerprint identifies what a request asks for, whoever sends it again.
func Fingerprint(organisation, class string, body []byte) string {
	h := sha256.New()
	_, _ = h.Write([]byte(organisation + "\x00" + class + "\x00"))
	_, _ = h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}

// Affinity is equal for requests that should run on the same agent.
func (r Request) Affinity() string {
	prefix := r.Prompt
	if len(prefix) > affinityBytes {
		prefix = prefix[:affinityBytes]
	}
	return r.Class.Service + "\x00" + prefix
}

// Sink takes a completion's tokens in order.
type Sink interface {
	// Token passes one token on; an error says that the caller is gone.
	Token(t engine.Token) error
}

// Answer is a plain service's answer.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
	Repeat      bool // the outcome is that of an earlier request with the key
}

// Progress is what the attempts of one request have brought so far.
type Progress struct {
	Digest   manifest.Digest // that the request is pinned to
	Tokens   int             // that reached the caller
	Finished bool            // the last token reached the caller
	Answer   Answer
}
