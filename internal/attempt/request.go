// Package attempt sends a request once to one agent, passes the answer on to the
// caller and classifies the result.
//
// The result is NotRun, Completed, Interrupted (the request may have run),
// CallerGone or Superseded (another attempt goes on). Package dispatch decides whether the request is retried.
package attempt

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"almondreel.example/almondreel/internal/engine"
	"almondreel.example/almondreel/internal/manifest"
	"almondreel.example/almondreel/internal/operator"
)

const (
	affinityBytes  = 256 // length of the prompt's prefix that determines the affinity
	partBytes      = 256 // by which the prefixes that PromptParts returns grow
	maxPromptParts = 64
)

// Request is a validated request of a caller.
type Request struct {
	ID             string
	Organisation   string
	Weight         int // of the organisation in fair queueing; 0 means 1
	Class          operator.Class
	IdempotencyKey string // may be empty
	Body           []byte
	Prompt         string // of a completion; empty for a plain call
	MaxTokens      int    // limit of a completion; 0 for a plain call
	Deadline       time.Time
	Fingerprint    string
}

// Fingerprint returns the SHA-256 digest, in hexadecimal, of a request's
// organisation, class and body. Repeats of a request have the same fingerprint.
func Fingerprint(organisation, class string, body []byte) string {
	h := sha256.New()
	_, _ = h.Write([]byte(organisation + "\x00" + class + "\x00"))
	_, _ = h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}

// Affinity returns the key that requests share if they should run on the same
// agent: the service and the first 256 bytes of the prompt.
func (r Request) Affinity() string {
	prefix := r.Prompt
	if len(prefix) > affinityBytes {
		prefix = prefix[:affinityBytes]
	}
	return r.Class.Service + "\x00" + prefix
}

// PromptParts returns digests of the service with each prefix of the prompt, shortest first,
// that other requests may share. The prefixes are shorter than the prompt.
func (r Request) PromptParts() []string {
	h := xxhash.New()
	_, _ = h.WriteString(r.Class.Service + "\x00")
	var parts []string
	for rest := r.Prompt; len(rest) > partBytes && len(parts) < maxPromptParts; rest = rest[partBytes:] {
		_, _ = h.WriteString(rest[:partBytes])
		parts = append(parts, strconv.FormatUint(h.Sum64(), 16))
	}
	return parts
}

// Sink receives a completion's tokens in order.
type Sink interface {
	// Token passes one token to the caller. An error means that the caller has
	// disconnected.
	Token(t engine.Token) error
}

// Answer is a plain service's answer.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
	Repeat      bool // the outcome is that of an earlier request with the same idempotency key
}

// Progress is what the attempts of one request have achieved so far.
type Progress struct {
	Digest   manifest.Digest // version to which the request is pinned; empty for a plain call
	Tokens   int             // number of tokens passed to the caller
	Finished bool            // the final token was passed to the caller
	Answer   Answer          // of a plain call
}
