package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"almondreel.example/almondreel/internal/engine"
	"almondreel.example/almondreel/internal/manifest"
	"almondreel.example/almondreel/internal/standin"
	"almondreel.example/almondreel/internal/standin/batch"
)

const (
	defaultTokens = 16
	maxTokens     = 1 << 16
	// cachedPercent is how much of the first token's time a cached prompt saves.
	cachedPercent = 80
)

// otherDigest is what tokens state under the WrongDigest fault.
const otherDigest = manifest.Digest("sha256:0000000000000000000000000000000000000000000000000000000000000000")

// request is one completion and its answer on the way.
type request struct {
	completion engine.Completion
	digest     manifest.Digest // fixed when the request arrives
	faults     Faults
	ticket     *batch.Ticket
	ctx        context.Context // ends with the caller, a cancellation or a crash
	end        func()
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
		standin.Refuse(w, http.StatusBadRequest, "max_tokens %d or resume_from %d out of range", c.MaxTokens, c.ResumeFrom)
		return
	}
	q, ok := s.begin(w, r, c)
	if !ok {
		return
	}
	defer q.end()
	if s.batch.Wait(q.ctx, q.ticket) != nil {
		standin.Abort()
	}
	defer s.batch.Leave()
	s.crashIf(c.Prompt)
	s.answer(q)
}

// begin queues a request for the served version, or refuses it when there is none.
func (s *Server) begin(w http.ResponseWriter, r *http.Request, c engine.Completion) (*request, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.digest == "" || s.swapping {
		w.Header().Set("Retry-After", "1")
		standin.Refuse(w, http.StatusServiceUnavailable, "no version is served")
		return nil, false
	}
	ctx, cancel := context.WithCancel(r.Context())
	stop := context.AfterFunc(s.crashed, cancel)
	if c.RequestID != "" {
		s.cancels[c.RequestID] = cancel
	}
	q := &request{
		completion: c,
		digest:     s.digest,
		faults:     s.faults,
		ticket:     s.batch.Join(c.Priority),
		ctx:        ctx,
		writer:     w,
	}
	q.end = func() {
		stop()
		cancel()
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.cancels, c.RequestID)
	}
	return q, true
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
		standin.Refuse(w, http.StatusNotFound, "request %s is not in progress", c.RequestID)
		return
	}
	cancel()
	w.WriteHeader(http.StatusNoContent)
}

// answer streams the tokens from ResumeFrom on. It closes the connection when
// the answer does not become whole.
func (s *Server) answer(q *request) {
	q.writer.Header().Set("Content-Type", "text/event-stream")
	q.writer.WriteHeader(http.StatusOK)
	standin.Sleep(q.ctx, s.firstTokenMilliseconds(q.completion.Prompt))
	for index := q.completion.ResumeFrom; index < q.completion.MaxTokens; index++ {
		s.pace(q, index)
		if q.ctx.Err() != nil || q.cutAt(index) {
			standin.Abort()
		}
		q.event(q.token(index))
	}
	q.event(engine.Done)
}

// firstTokenMilliseconds is shorter by the part of the prompt that is cached.
func (s *Server) firstTokenMilliseconds(prompt string) int {
	full := s.options.FirstTokenMilliseconds
	held, blocks := s.prefix.use(prompt)
	if blocks == 0 {
		return full
	}
	return full - full*cachedPercent*held/(100*blocks)
}

// pace waits before the token at index.
func (s *Server) pace(q *request, index int) {
	sent := index - q.completion.ResumeFrom
	if sent == 0 {
		return
	}
	standin.Sleep(q.ctx, s.options.BetweenTokensMilliseconds)
	if sent == 1 {
		standin.Sleep(q.ctx, q.faults.StallMilliseconds)
	}
}

func (q *request) cutAt(index int) bool {
	cut := q.faults.CutAfterTokens
	return cut > 0 && index-q.completion.ResumeFrom >= cut
}

func (q *request) token(index int) string {
	token := engine.Token{
		RequestID: q.completion.RequestID,
		Digest:    q.digest,
		Index:     index,
		Text:      Text(q.digest, q.completion.Prompt, index),
	}
	if q.faults.WrongDigest {
		token.Digest = otherDigest
	}
	if index == q.completion.MaxTokens-1 {
		token.Finish = "stop"
	}
	text, err := json.Marshal(token)
	if err != nil {
		panic(err)
	}
	return string(text)
}

// event sends one server-sent event.
func (q *request) event(data string) {
	_, _ = fmt.Fprintf(q.writer, "data: %s\n\n", data)
	if flusher, ok := q.writer.(http.Flusher); ok {
		flusher.Flush()
	}
}
