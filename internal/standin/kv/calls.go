package kv

import (
	"sort"
	"strings"

	"almondreel.example/almondreel/internal/kv"
)

// Kind is the kind of a call.
type Kind string

// Kinds of call.
const (
	KindGet       Kind = "Get"
	KindList      Kind = "List"
	KindSwap      Kind = "Swap"
	KindWatch     Kind = "Watch"
	KindGrant     Kind = "Grant"
	KindKeepAlive Kind = "KeepAlive"
)

// Call counts the calls of one kind to keys with one prefix.
type Call struct {
	Kind    Kind
	Prefix  string // the key up to its first slash; empty for calls on leases
	Count   int    // number of calls, including refused ones
	Refused int    // number of calls refused with status 429
}

// Calls is the response at CallsPath.
type Calls struct {
	Calls []Call
}

type callKey struct {
	kind   Kind
	prefix string
}

// Calls returns the counts of calls so far, sorted by kind, then prefix.
func (s *Server) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls := []Call{}
	for _, c := range s.calls {
		calls = append(calls, c)
	}
	sort.Slice(calls, func(i, j int) bool {
		if calls[i].Kind != calls[j].Kind {
			return calls[i].Kind < calls[j].Kind
		}
		return calls[i].Prefix < calls[j].Prefix
	})
	return Calls{Calls: calls}
}

func (s *Server) count(kind Kind, key string, allowed bool) {
	prefix, _, _ := strings.Cut(key, "/")
	s.mu.Lock()
	defer s.mu.Unlock()
	index := callKey{kind: kind, prefix: prefix}
	c := s.calls[index]
	c.Kind, c.Prefix = kind, prefix
	c.Count++
	if !allowed {
		c.Refused++
	}
	s.calls[index] = c
}

// keyOf returns the key or key prefix of a decoded call, or "" for a call on a lease.
func keyOf(call any) string {
	switch c := call.(type) {
	case *kv.Get:
		return c.Key
	case *kv.List:
		return c.Prefix
	case *kv.Swap:
		return c.Key
	case *kv.Watch:
		return c.Key
	}
	return ""
}
