// Package kv is a stand-in for the platform's key-value service: compare-and-swap,
// leases and watches in memory, with call rates and fault switches.
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

// CallsPath answers Calls.
const CallsPath = "/v1/calls"

// maxBodyBytes holds a value of kv.MaxValueBytes in base64, its key and lease.
const maxBodyBytes = 2 * kv.MaxValueBytes

// Options are the service's rates; 0 means no limit.
type Options struct {
	WritesPerSecond int
	ReadsPerSecond  int // a watch counts as one read
}

// Faults are the service's fault switches.
type Faults struct {
	Down                  bool // connections are closed, nothing takes effect
	DelayMilliseconds     int  // before a call takes effect
	LoseAnswersOneIn      int  // one write in this many takes effect without an answer
	LateWriteMilliseconds int  // connections of writes are closed; they take effect this much later
	StaleReads            bool // reads answer each key's former entry
	FlapMilliseconds      int  // down and up by turns of this length, down first
}

// Server is the stand-in. It is safe for concurrent use.
type Server struct {
	store  *store
	writes *rate.Limiter
	reads  *rate.Limiter
	mux    *http.ServeMux

	mu       sync.Mutex
	faults   Faults
	faultsAt time.Time // when faults were set
	swaps    int
	calls    map[callKey]Call
	ttls     map[string]int // milliseconds by lease
}

// New returns an empty service.
func New(o Options) *Server {
	s := &Server{
		store:  newStore(),
		writes: limiter(o.WritesPerSecond),
		reads:  limiter(o.ReadsPerSecond),
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
		standin.Answer(w, http.StatusOK, s.Calls())
	})
	standin.HandleFaults(s.mux, func() any { return s.Faults() }, s.decodeFaults)
	return s
}

func limiter(perSecond int) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), perSecond)
}

// ServeHTTP answers the calls of internal/kv.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Faults returns the fault switches.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults replaces the fault switches.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.faultsAt = time.Now()
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
	turns := time.Since(s.faultsAt).Milliseconds() / int64(s.faults.FlapMilliseconds)
	return s.faults.Down || turns%2 == 0
}

// admit decodes a call, counts it and holds it to its rate. It returns false
// when the call was refused, and does not return when the service is down.
func (s *Server) admit(w http.ResponseWriter, r *http.Request, kind Kind, target any) bool {
	if s.down() {
		standin.Abort()
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		refuseBody(w, err)
		return false
	}
	if err := json.Unmarshal(body, target); err != nil {
		standin.Refuse(w, http.StatusBadRequest, "decode body: %v", err)
		return false
	}
	allowed := s.limiterOf(kind).Allow()
	s.count(kind, keyOf(target), allowed)
	if !allowed {
		w.Header().Set("Retry-After", "1")
		standin.Refuse(w, http.StatusTooManyRequests, "rate of calls exceeded")
		return false
	}
	standin.Sleep(r.Context(), s.Faults().DelayMilliseconds)
	return true
}

func refuseBody(w http.ResponseWriter, err error) {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		standin.Refuse(w, http.StatusRequestEntityTooLarge, "value exceeds %d bytes", kv.MaxValueBytes)
		return
	}
	standin.Refuse(w, http.StatusBadRequest, "read body: %v", err)
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
	standin.Answer(w, http.StatusOK, s.store.get(g.Key, s.Faults().StaleReads))
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	var l kv.List
	if !s.admit(w, r, KindList, &l) {
		return
	}
	standin.Answer(w, http.StatusOK, kv.Entries{Entries: s.store.list(l, s.Faults().StaleReads)})
}

func (s *Server) swap(w http.ResponseWriter, r *http.Request) {
	var swap kv.Swap
	if !s.admit(w, r, KindSwap, &swap) {
		return
	}
	if len(swap.Value) > kv.MaxValueBytes {
		standin.Refuse(w, http.StatusRequestEntityTooLarge, "value exceeds %d bytes", kv.MaxValueBytes)
		return
	}
	if milliseconds := s.Faults().LateWriteMilliseconds; milliseconds > 0 {
		s.swapLater(swap, milliseconds)
		standin.Abort()
	}
	entry, result := s.store.swap(swap)
	if s.losesAnswer() {
		standin.Abort()
	}
	answerSwap(w, swap, entry, result)
}

// swapLater applies the write after the given milliseconds. Its condition is
// checked then.
func (s *Server) swapLater(swap kv.Swap, milliseconds int) {
	time.AfterFunc(time.Duration(milliseconds)*time.Millisecond, func() {
		_, _ = s.store.swap(swap)
	})
}

func answerSwap(w http.ResponseWriter, swap kv.Swap, entry kv.Entry, result result) {
	switch result {
	case conflicted:
		standin.Answer(w, http.StatusConflict, entry)
	case leaseLapsed:
		standin.Refuse(w, http.StatusNotFound, "lease %s has lapsed", swap.Lease)
	default:
		standin.Answer(w, http.StatusOK, entry)
	}
}

// losesAnswer reports whether this write's answer is to be lost.
func (s *Server) losesAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseAnswersOneIn <= 0 {
		return false
	}
	s.swaps++
	return s.swaps%s.faults.LoseAnswersOneIn == 0
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	var watch kv.Watch
	if !s.admit(w, r, KindWatch, &watch) {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(watch.WaitMilliseconds)*time.Millisecond)
	defer cancel()
	for {
		entry, newer, changed, lapse := s.store.after(watch.Key, watch.After, s.Faults().StaleReads)
		if newer {
			standin.Answer(w, http.StatusOK, entry)
			return
		}
		if !wait(ctx, changed, lapse) {
			w.WriteHeader(http.StatusNoContent)
			return
		}
		if s.down() {
			standin.Abort()
		}
	}
}

// wait returns true at a write or when a lease lapses, false when ctx ends.
func wait(ctx context.Context, changed <-chan struct{}, lapse time.Time) bool {
	var lapsed <-chan time.Time
	if !lapse.IsZero() {
		timer := time.NewTimer(time.Until(lapse))
		defer timer.Stop()
		lapsed = timer.C
	}
	select {
	case <-changed:
		return true
	case <-lapsed:
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
		standin.Refuse(w, http.StatusBadRequest, "ttl_milliseconds must be positive")
		return
	}
	lease := s.store.grant(time.Duration(grant.TTLMilliseconds) * time.Millisecond)
	s.mu.Lock()
	s.ttls[lease.Lease] = grant.TTLMilliseconds
	s.mu.Unlock()
	standin.Answer(w, http.StatusOK, lease)
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
		standin.Refuse(w, http.StatusNotFound, "lease %s has lapsed", keep.Lease)
		return
	}
	standin.Answer(w, http.StatusOK, kv.Lease{Lease: keep.Lease, LeftMilliseconds: ttl})
}
