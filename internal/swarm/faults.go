package swarm

import (
	"net/http"
	"strings"
	"time"

	"almondreel.example/almondreel/internal/agent"
)

// Faults of an agent towards the others.
type Faults struct {
	CorruptOneIn           int  // one chunk in this many is sent with a changed byte
	CutShortOneIn          int  // one chunk in this many ends early
	TooLongOneIn           int  // one chunk in this many has bytes added
	Stalled                bool // chunks stop after their first bytes, and exchanges hang
	CallsDelayMilliseconds int  // its connection for exchanges is answered that much later
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
	a.served++
	return a.faults, a.served
}

func (a *Agent) faulty(next http.Handler) http.Handler {
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
		next.ServeHTTP(&faultyWriter{ResponseWriter: w, faults: f, number: number}, r)
	})
}

// faultyWriter changes a chunk on its way out. Changed lengths are sent chunked.
type faultyWriter struct {
	http.ResponseWriter
	faults Faults
	number int
	wrote  bool
}

func (f *faultyWriter) oneIn(n int) bool { return n > 0 && f.number%n == 0 }

// Unwrap lets http.ResponseController reach the connection.
func (f *faultyWriter) Unwrap() http.ResponseWriter { return f.ResponseWriter }

// Write sends data, the first piece of a chunk with the fault.
func (f *faultyWriter) Write(data []byte) (int, error) {
	if f.wrote || len(data) == 0 {
		return f.ResponseWriter.Write(data)
	}
	f.wrote = true
	sent := data
	switch {
	case f.oneIn(f.faults.CorruptOneIn):
		sent = append([]byte(nil), data...)
		sent[len(sent)/2] ^= 0xff
	case f.oneIn(f.faults.CutShortOneIn):
		f.Header().Del("Content-Length")
		sent = data[:len(data)/2]
	case f.oneIn(f.faults.TooLongOneIn):
		f.Header().Del("Content-Length")
		sent = append(append([]byte(nil), data...), data...)
	}
	if _, err := f.ResponseWriter.Write(sent); err != nil {
		return 0, err
	}
	return len(data), nil
}
