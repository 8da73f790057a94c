//go:build review

package main

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in for the platform's metadata store. It can be away, and come back
// from a copy of an earlier moment.
type store struct {
	mu       sync.Mutex
	away     bool
	era      int64
	revision int64
	history  []item
	items    map[string]item
	changed  chan struct{}
}

// item is an item of the store, or the deletion of one.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created"`
	Lease    int64  `json:"lease_id"`
	Deleted  bool   `json:"compacted,omitempty"`
}

// copied is a copy of a store's content.
type copied struct {
	revision int64
	history  []item
	items    map[string]item
}

func newStore() *store {
	return &store{era: 1, revision: 1, items: map[string]item{}, changed: make(chan struct{})}
}

// put writes an item and returns its revision, or 0 if the store is away.
func (s *store) put(key string, value any) int64 {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err) // values come only from this program
	}
	return s.write(key, text)
}

func (s *store) write(key string, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return 0
	}
	s.revision++
	i := item{Key: key, Value: value, Revision: s.revision, Created: s.revision}
	if known, ok := s.items[key]; ok {
		i.Created = known.Created
	}
	s.items[key] = i
	s.history = append(s.history, i)
	s.notify()
	return s.revision
}

// notify wakes the watches. Callers hold mu.
func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) copy() copied {
	s.mu.Lock()
	defer s.mu.Unlock()
	return copied{s.revision, slices.Clone(s.history), maps.Clone(s.items)}
}

// leave makes the store answer every call with 503.
func (s *store) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	s.notify()
}

// restore brings the store back from a copy, in a new era. It returns the revision
// before and after.
func (s *store) restore(c copied) (before, after int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before = s.revision
	s.away, s.era = false, s.era+1
	s.revision, s.history, s.items = c.revision, slices.Clone(c.history), maps.Clone(c.items)
	s.notify()
	return before, s.revision
}

// ServeHTTP serves reads, watches, and writes of single items by stand-ins.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	away, era := s.away, s.era
	s.mu.Unlock()
	w.Header().Set("Store-Era", strconv.FormatInt(era, 10))
	if away {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	key, isWrite := strings.CutPrefix(r.URL.Path, wire.Write)
	switch {
	case r.Method == http.MethodPut && isWrite:
		value, err := io.ReadAll(io.LimitReader(r.Body, 1<<20))
		if err != nil || s.write(key, value) == 0 {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	case r.URL.Path == wire.List:
		s.list(w, r)
	case r.URL.Path == wire.Watch:
		s.watch(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	entries := []item{}
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if strings.HasPrefix(key, r.URL.Query().Get("prefix")) && key > r.URL.Query().Get("after") {
			entries = append(entries, s.items[key])
		}
	}
	at := s.revision
	s.mu.Unlock()
	answerJSON(w, map[string]any{"entries": entries, "has_more": false, "at": at})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	deadline := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer deadline.Stop()
	for timedOut := false; ; {
		s.mu.Lock()
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, r.URL.Query().Get("prefix")) {
				events = append(events, i)
			}
		}
		at, changed, away := s.revision, s.changed, s.away
		s.mu.Unlock()
		switch {
		case away:
			panic(http.ErrAbortHandler) // a watch that waits is cut
		case after > at:
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0 || timedOut:
			answerJSON(w, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			timedOut = true
		case <-r.Context().Done():
			return
		}
	}
}

func answerJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value) // the client may have disconnected
}
