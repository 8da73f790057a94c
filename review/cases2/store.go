//go:build review

package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store plays the platform's metadata store: items, one revision counter, watches.
type store struct {
	mu          sync.Mutex
	era         int
	revision    int64
	items       map[string]item
	history     []item // all changes since the start, oldest first
	changed     chan struct{}
	unavailable bool // calls get 503: nothing was done
}

type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  int64  `json:"revision"`
	Created   int64  `json:"created,omitempty"`
	Lease     int64  `json:"lease_id"`
	Compacted bool   `json:"compacted,omitempty"` // the key was deleted
	at        time.Time
}

func newStore() *store {
	return &store{era: 1, revision: 40, items: map[string]item{}, changed: make(chan struct{})}
}

// put writes an item and returns its revision. The return is the confirmation.
func (s *store) put(key string, value any) int64 {
	text, err := json.Marshal(value)
	must(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.apply(item{Key: key, Value: text})
}

func (s *store) remove(key string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.apply(item{Key: key, Compacted: true})
}

func (s *store) apply(i item) int64 {
	s.revision++
	i.Revision, i.Created, i.at = s.revision, s.revision, time.Now()
	if known, ok := s.items[i.Key]; ok {
		i.Created = known.Created
	}
	s.history = append(s.history, i)
	if i.Compacted {
		delete(s.items, i.Key)
	} else {
		s.items[i.Key] = i
	}
	s.wake()
	return s.revision
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// goAway makes the store answer all calls with 503, also the watches that wait.
func (s *store) goAway() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable = true
	s.wake()
}

// comeBack ends goAway. If the copy is one of a time, all later changes are lost, and their
// revisions are given out again.
func (s *store) comeBack(copyOf time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable = false
	if copyOf.IsZero() {
		return
	}
	s.era++
	kept := len(s.history)
	for kept > 0 && s.history[kept-1].at.After(copyOf) {
		kept--
		s.revision = s.history[kept].Revision - 1
	}
	s.history = append([]item(nil), s.history[:kept]...)
	s.items = map[string]item{}
	for _, i := range s.history {
		if i.Compacted {
			delete(s.items, i.Key)
		} else {
			s.items[i.Key] = i
		}
	}
}

func (s *store) currentRevision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/almondreel/kv-range":
		s.list(w, r)
	case "/almondreel/kv-watch":
		s.watch(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	entries := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, r.URL.Query().Get("prefix")) && key > r.URL.Query().Get("after") {
			entries = append(entries, i)
		}
	}
	status, at, era := http.StatusOK, s.revision, s.era
	if s.unavailable {
		status = http.StatusServiceUnavailable
	}
	s.mu.Unlock()
	sort.Slice(entries, func(a, b int) bool { return entries[a].Key < entries[b].Key })
	answer(w, status, era, map[string]any{"entries": entries, "has_more": false, "at": at})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	if err != nil || waitErr != nil || wait > 30000 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for timedOut := false; ; {
		s.mu.Lock()
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, r.URL.Query().Get("prefix")) {
				events = append(events, i)
			}
		}
		at, era, changed, unavailable := s.revision, s.era, s.changed, s.unavailable
		s.mu.Unlock()
		switch {
		case unavailable:
			answer(w, http.StatusServiceUnavailable, era, map[string]any{})
			return
		case after > at: // it does not have this revision
			answer(w, http.StatusGone, era, map[string]any{"at": at})
			return
		case len(events) > 0 || timedOut:
			answer(w, http.StatusOK, era, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			timedOut = true
		case <-r.Context().Done():
			return
		}
	}
}

func answer(w http.ResponseWriter, status, era int, body any) {
	time.Sleep(4 * time.Millisecond) // the store's usual time
	text, err := json.Marshal(body)
	must(err)
	w.Header().Set("Store-Era", strconv.Itoa(era))
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(text) // the caller may have gone
}
