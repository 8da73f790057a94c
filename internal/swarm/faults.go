package swarm

import (
	"net/http"
	"strings"
	"time"

	"almondreel.example/almondreel/internal/agent"
)

// Faults are injected into an agent's answers to other agents.
type Faults struct {
	CorruptOneIn           int  // one chunk in this many is sent with a changed byte
	CutShortOneIn          int  // one chunk in this many ends early
	TooLongOneIn           int  // one chunk in this many has bytes added
	Stalled                bool // HTTP requests, for chunks or new net/rpc connections, get no answer
	CallsDelayMilliseconds int  // delay of HTTP requests other than for chunks, such as for a new net/rpc connection
}

// SetFaults replaces the agent's faults.
func (a *Agent) SetFaults(f Faults) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.faults = f
}

func (a *Agent) nextFaults() (f Faults, number int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.requests++
	return a.faults, a.requests
}

func (a *Agent) withFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f, number := a.nextFaults()
		if f.Stalled {
			<-r.Context().Done()
			return
		}
		if !strings.HasPrefix(r.URL.Path, agent.ChunkPath) {
			time.Sleep(time.Duration(f.CallsDelayMilliseconds) * time.Millisecond)
			next.ServeHTTP(w, r)
			return
		}
		next.ServeHTTP(&faultyWriter{ResponseWriter: w, faults: f, request: number}, r)
	})
}

// faultyWriter injects a fault into one chunk. A body of another length is sent
// with chunked transfer encoding.
type faultyWriter struct {
	http.ResponseWriter
	faults  Faults
	request int
	written bool
}

func (f *faultyWriter) applies(n int) bool { return n > 0 && f.request%n == 0 }

// Unwrap gives http.ResponseController access to the connection.
func (f *faultyWriter) Unwrap() http.ResponseWriter { return f.ResponseWriter }

// Write writes data. The fault changes only the first write of a chunk.
func (f *faultyWriter) Write(data []byte) (int, error) {
	if f.written || len(data) == 0 {
		return f.ResponseWriter.Write(data)
	}
	f.written = true
	sent := data
	switch {
	case f.applies(f.faults.CorruptOneIn):
		sent = append([]byte(nil), data...)
		sent[len(sent)/2] ^= 0xff
	case f.applies(f.faults.CutShortOneIn):
		f.Header().Del("Content-Length")
		sent = data[:len(data)/2]
	case f.applies(f.faults.TooLongOneIn):
		f.Header().Del("Content-Length")
		sent = append(append([]byte(nil), data...), data...)
	}
	if _, err := f.ResponseWriter.Write(sent); err != nil {
		return 0, err
	}
	return len(data), nil
}
