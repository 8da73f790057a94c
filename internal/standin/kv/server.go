// Package kv is the stand-in for the platform's key-value service. It keeps keys and
// leases in memory, with compare-and-swap and watches, limits the rate of calls and
// injects faults.
package kv

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"almondreel.example/almondreel/internal/kv"
	"almondreel.example/almondreel/internal/standin"
)

// CallsPath is the path of the call counts; GET returns Calls.
const CallsPath = "/v1/calls"

// maxBodyBytes allows for a value of kv.MaxValueBytes in base64, its key and its lease.
const maxBodyBytes = 2 * kv.MaxValueBytes

// Options are the rate limits of the service; 0 means no limit.
type Options struct {
	WritesPerSecond int
	ReadsPerSecond  int // a watch counts as one read
}

// Faults are the faults that the service injects.
type Faults struct {
	Down                  bool // connections are closed and calls have no effect
	DelayMilliseconds     int  // delay before a call takes effect
	LoseAnswersOneIn      int  // one write in this many takes effect without a response; 0: none
	LateWriteMilliseconds int  // connections of writes are closed; the writes take effect this much later
	StaleReads            bool // reads return each key's previous entry
	FlapMilliseconds      int  // the service alternates between down and up after this time, down first; 0: off
}

// Server is the stand-in. It is safe for concurrent use.
type Server struct {
	store  *store
	writes *rate.Limiter
	reads  *rate.Limiter
	mux    *http.ServeMux

	mu            sync.Mutex
	faults        Faults
	faultsSetAt   time.Time // start of the first flapping phase
	answeredSwaps int
	calls         map[callKey]Call
	ttls          map[string]int // TTL in milliseconds by lease
}

// New returns a service without keys or leases.
func New(o Options) *Server {
	s := &Server{
		store:  newStore(),
		writes: newLimiter(o.WritesPerSecond),
		reads:  newLimiter(o.ReadsPerSecond),
		mux:    http.NewServeMux(),
		calls:  map[callKey]Call{},
		ttls:   map[string]int{},
	}
	s.mux.HandleFunc("POST "+kv.GetPath, s.get)
	s.mux.HandleFunc("POST "+kv.ListPath, s.list)
	s.mux.HandleFunc("POST "+kv.SwapPath, s.swap)
	s.mux.HandleFunc("POST "+kv.WatchPath, s.watch)
	s.mux.HandleFunc("POST "+kv.GrantPath, s.grant)
	s.mux.HandleFunc("POST "+kv.KeepAlivePath, s.keepAlive)
	s.mux.HandleFunc("GET "+CallsPath, func(w http.ResponseWriter, _ *http.Request) {
		standin.WriteJSON(w, http.StatusOK, s.Calls())
	})
	standin.HandleFaults(s.mux, func() any { return s.Faults() }, s.decodeFaults)
	return s
}

func newLimiter(perSecond int) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), perSecond)
}

// ServeHTTP handles the calls that clients of internal/kv make, and requests that read
// the call counts and set faults.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Faults returns the current faults.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.faultsSetAt = time.Now()
}

func (s *Server) decodeFaults(body io.Reader) error {
	var f Faults
	if err := standin.DecodeStrict(body, &f); err != nil {
		return err
	}
	s.SetFaults(f)
	return nil
}

// down reports whether the service is down now.
func (s *Server) down() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.FlapMilliseconds <= 0 {
		return s.faults.Down
	}
	phases := time.Since(s.faultsSetAt).Milliseconds() / int64(s.faults.FlapMilliseconds)
	return s.faults.Down || phases%2 == 0
}

// admit decodes a call, counts it and applies the rate limit and DelayMilliseconds. It
// returns false after it has refused the call, and aborts the connection when the
// service is down.
func (s *Server) admit(w http.ResponseWriter, r *http.Request, kind Kind, target any) bool {
	if s.down() {
		standin.Abort()
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		writeBodyError(w, err)
		return false
	}
	if err := json.Unmarshal(body, target); err != nil {
		standin.WriteError(w, http.StatusBadRequest, "decode request body: %v", err)
		return false
	}
	allowed := s.limiterOf(kind).Allow()
	s.count(kind, keyOf(target), allowed)
	if !allowed {
		w.Header().Set("Retry-After", "1")
		standin.WriteError(w, http.StatusTooManyRequests, "call rate limit exceeded")
		return false
	}
	standin.Sleep(r.Context(), s.Faults().DelayMilliseconds)
	return true
}

func writeBodyError(w http.ResponseWriter, err error) {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		standin.WriteError(w, http.StatusRequestEntityTooLarge, "value exceeds %d bytes", kv.MaxValueBytes)
		return
	}
	standin.WriteError(w, http.StatusBadRequest, "read request body: %v", err)
}

func (s *Server) limiterOf(kind Kind) *rate.Limiter {
	switch kind {
	case KindSwap, KindGrant, KindKeepAlive:
		return s.writes
	default:
		return s.reads
	}
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	var g kv.Get
	if !s.admit(w, r, KindGet, &g) {
		return
	}
	standin.WriteJSON(w, http.StatusOK, s.store.get(g.Key, s.Faults().StaleReads))
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	var l kv.List
	if !s.admit(w, r, KindList, &l) {
		return
	}
	standin.WriteJSON(w, http.StatusOK, kv.Entries{Entries: s.store.list(l, s.Faults().StaleReads)})
}

func (s *Server) swap(w http.ResponseWriter, r *http.Request) {
	var swap kv.Swap
	if !s.admit(w, r, KindSwap, &swap) {
		return
	}
	if len(swap.Value) > kv.MaxValueBytes {
		standin.WriteError(w, http.StatusRequestEntityTooLarge, "value exceeds %d bytes", kv.MaxValueBytes)
		return
	}
	if milliseconds := s.Faults().LateWriteMilliseconds; milliseconds > 0 {
		s.swapLater(swap, milliseconds)
		standin.Abort()
	}
	entry, result := s.store.swap(swap)
	if s.dropsResponse() {
		standin.Abort()
	}
	writeSwapResult(w, swap, entry, result)
}

// swapLater applies the write after the given number of milliseconds. Its revision is
// compared at that time.
func (s *Server) swapLater(swap kv.Swap, milliseconds int) {
	time.AfterFunc(time.Duration(milliseconds)*time.Millisecond, func() {
		_, _ = s.store.swap(swap)
	})
}

func writeSwapResult(w http.ResponseWriter, swap kv.Swap, entry kv.Entry, result swapResult) {
	switch result {
	case revisionConflict:
		standin.WriteJSON(w, http.StatusConflict, entry)
	case leaseExpired:
		standin.WriteError(w, http.StatusNotFound, "lease %s has expired", swap.Lease)
	default:
		standin.WriteJSON(w, http.StatusOK, entry)
	}
}

// dropsResponse counts a write and reports whether its response is to be dropped.
func (s *Server) dropsResponse() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseAnswersOneIn <= 0 {
		return false
	}
	s.answeredSwaps++
	return s.answeredSwaps%s.faults.LoseAnswersOneIn == 0
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	var watch kv.Watch
	if !s.admit(w, r, KindWatch, &watch) {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(watch.WaitMilliseconds)*time.Millisecond)
	defer cancel()
	for {
		entry, newer, changed, expiry := s.store.entryAfter(watch.Key, watch.After, s.Faults().StaleReads)
		if newer {
			standin.WriteJSON(w, http.StatusOK, entry)
			return
		}
		if !waitForChange(ctx, changed, expiry) {
			w.WriteHeader(http.StatusNoContent)
			return
		}
		if s.down() {
			standin.Abort()
		}
	}
}

// waitForChange returns true when a key was written or a lease expires, and false when
// ctx is done.
func waitForChange(ctx context.Context, changed <-chan struct{}, expiry time.Time) bool {
	var expired <-chan time.Time
	if !expiry.IsZero() {
		timer := time.NewTimer(time.Until(expiry))
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case <-changed:
		return true
	case <-expired:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *Server) grant(w http.ResponseWriter, r *http.Request) {
	var grant kv.Grant
	if !s.admit(w, r, KindGrant, &grant) {
		return
	}
	if grant.TTLMilliseconds <= 0 {
		standin.WriteError(w, http.StatusBadRequest, "ttl_milliseconds must be positive")
		return
	}
	lease := s.store.grant(time.Duration(grant.TTLMilliseconds) * time.Millisecond)
	s.mu.Lock()
	s.ttls[lease.Lease] = grant.TTLMilliseconds
	s.mu.Unlock()
	standin.WriteJSON(w, http.StatusOK, lease)
}

func (s *Server) keepAlive(w http.ResponseWriter, r *http.Request) {
	var keep kv.KeepAlive
	if !s.admit(w, r, KindKeepAlive, &keep) {
		return
	}
	s.mu.Lock()
	ttl := s.ttls[keep.Lease]
	s.mu.Unlock()
	if !s.store.keepAlive(keep.Lease, time.Duration(ttl)*time.Millisecond) {
		standin.WriteError(w, http.StatusNotFound, "lease %s has expired", keep.Lease)
		return
	}
	standin.WriteJSON(w, http.StatusOK, kv.Lease{Lease: keep.Lease, LeftMilliseconds: ttl})
}
