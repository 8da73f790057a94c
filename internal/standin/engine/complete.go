package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"almondreel.example/almondreel/internal/engine"
	"almondreel.example/almondreel/internal/manifest"
	"almondreel.example/almondreel/internal/standin"
	"almondreel.example/almondreel/internal/standin/slotqueue"
)

const (
	defaultTokens = 16
	maxTokens     = 1 << 16
	// cacheSavingPercent is the part of the time to the first token that a fully
	// cached prompt saves.
	cacheSavingPercent = 80
)

// wrongDigest is the digest in tokens under the WrongDigest fault.
const wrongDigest = manifest.Digest("sha256:0000000000000000000000000000000000000000000000000000000000000000")

// request is a completion in progress.
type request struct {
	completion engine.Completion
	digest     manifest.Digest // version that was served when the request arrived
	faults     Faults
	waiter     *slotqueue.Waiter
	ctx        context.Context // done when the caller disconnects, on Cancel and on a crash
	finish     func()
	writer     http.ResponseWriter
}

func (s *Server) complete(w http.ResponseWriter, r *http.Request) {
	var c engine.Completion
	if !standin.Decode(w, r, maxBodyBytes, &c) {
		return
	}
	if s.Faults().CloseAfterReading {
		standin.Abort()
	}
	if c.MaxTokens == 0 {
		c.MaxTokens = defaultTokens
	}
	if c.MaxTokens < 0 || c.MaxTokens > maxTokens || c.ResumeFrom < 0 || c.ResumeFrom >= c.MaxTokens {
		standin.WriteError(w, http.StatusBadRequest, "max_tokens %d or resume_from %d out of range", c.MaxTokens, c.ResumeFrom)
		return
	}
	req, ok := s.enqueue(w, r, c)
	if !ok {
		return
	}
	defer req.finish()
	if s.queue.Wait(req.ctx, req.waiter) != nil {
		standin.Abort()
	}
	defer s.queue.Release()
	s.crashOnMarker(c.Prompt)
	s.stream(req)
}

// enqueue queues a request for the served version. If no version is served or a load
// is switching versions, it responds with 503 and returns false.
func (s *Server) enqueue(w http.ResponseWriter, r *http.Request, c engine.Completion) (*request, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.digest == "" || s.swapping {
		w.Header().Set("Retry-After", "1")
		standin.WriteError(w, http.StatusServiceUnavailable, "no version is being served")
		return nil, false
	}
	ctx, cancel := context.WithCancel(r.Context())
	stop := context.AfterFunc(s.crashed, cancel)
	if c.RequestID != "" {
		s.cancels[c.RequestID] = cancel
	}
	req := &request{
		completion: c,
		digest:     s.digest,
		faults:     s.faults,
		waiter:     s.queue.Enqueue(c.Priority),
		ctx:        ctx,
		writer:     w,
	}
	req.finish = func() {
		stop()
		cancel()
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.cancels, c.RequestID)
	}
	return req, true
}

func (s *Server) cancel(w http.ResponseWriter, r *http.Request) {
	var c engine.Cancel
	if !standin.Decode(w, r, maxBodyBytes, &c) {
		return
	}
	s.mu.Lock()
	cancel, ok := s.cancels[c.RequestID]
	s.mu.Unlock()
	if !ok {
		standin.WriteError(w, http.StatusNotFound, "request %s is not in progress", c.RequestID)
		return
	}
	cancel()
	w.WriteHeader(http.StatusNoContent)
}

// stream sends the tokens from ResumeFrom on as server-sent events. It closes the
// connection if the request is cancelled or cut before the last token.
func (s *Server) stream(req *request) {
	req.writer.Header().Set("Content-Type", "text/event-stream")
	req.writer.WriteHeader(http.StatusOK)
	standin.Sleep(req.ctx, s.firstTokenMilliseconds(req.completion.Prompt))
	for index := req.completion.ResumeFrom; index < req.completion.MaxTokens; index++ {
		s.waitBeforeToken(req, index)
		if req.ctx.Err() != nil || req.cutAt(index) {
			standin.Abort()
		}
		req.writeEvent(req.encodeToken(index))
	}
	req.writeEvent(engine.Done)
}

// firstTokenMilliseconds returns the time to the first token, reduced in proportion to
// the cached part of the prompt, and adds the prompt to the cache.
func (s *Server) firstTokenMilliseconds(prompt string) int {
	full := s.options.FirstTokenMilliseconds
	cached, blocks := s.prefixes.add(prompt)
	if blocks == 0 {
		return full
	}
	return full - full*cacheSavingPercent*cached/(100*blocks)
}

// waitBeforeToken waits BetweenTokensMilliseconds before each token but the first, and
// StallMilliseconds in addition before the second.
func (s *Server) waitBeforeToken(req *request, index int) {
	sent := index - req.completion.ResumeFrom
	if sent == 0 {
		return
	}
	standin.Sleep(req.ctx, s.options.BetweenTokensMilliseconds)
	if sent == 1 {
		standin.Sleep(req.ctx, req.faults.StallMilliseconds)
	}
}

func (r *request) cutAt(index int) bool {
	cut := r.faults.CutAfterTokens
	return cut > 0 && index-r.completion.ResumeFrom >= cut
}

func (r *request) encodeToken(index int) string {
	token := engine.Token{
		RequestID: r.completion.RequestID,
		Digest:    r.digest,
		Index:     index,
		Text:      TokenText(r.digest, r.completion.Prompt, index),
	}
	if r.faults.WrongDigest {
		token.Digest = wrongDigest
	}
	if index == r.completion.MaxTokens-1 {
		token.Finish = "stop"
	}
	text, err := json.Marshal(token)
	if err != nil {
		panic(err)
	}
	return string(text)
}

// writeEvent sends one server-sent event.
func (r *request) writeEvent(data string) {
	_, _ = fmt.Fprintf(r.writer, "data: %s\n\n", data)
	if flusher, ok := r.writer.(http.Flusher); ok {
		flusher.Flush()
	}
}
