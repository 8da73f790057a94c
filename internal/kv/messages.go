// Package kv speaks to the platform's key-value service: read, compare-and-swap,
// leases and watches, as JSON over HTTP.
package kv

// Paths of the service.
const (
	GetPath       = "/v1/get"        // POST Get, answers Entry
	ListPath      = "/v1/list"       // POST List, answers Entries
	SwapPath      = "/v1/swap"       // POST Swap, answers Entry; 409 with the current Entry
	WatchPath     = "/v1/watch"      // POST Watch, answers Entry when newer, 204 at the deadline
	GrantPath     = "/v1/lease"      // POST Grant, answers Lease
	KeepAlivePath = "/v1/keep_alive" // POST KeepAlive, answers Lease; 404: lapsed
)

// MaxValueBytes is the largest value that the service holds.
const MaxValueBytes = 1 << 20

// Entry is a key's value. Revision 0 means that the key is absent. Revisions of
// all keys come from one rising sequence.
type Entry struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
}

// Get reads one key.
type Get struct {
	Key string `json:"key"`
}

// List reads the keys with a prefix, at most Limit of them (0: all) after key After.
type List struct {
	Prefix string `json:"prefix"`
	After  string `json:"after,omitempty"`
	Limit  int    `json:"limit,omitempty"`
}

// Entries answers List in key order.
type Entries struct {
	Entries []Entry `json:"entries"`
}

// Swap writes Value if the key's revision still is Revision. An empty Value
// deletes. With a Lease, the key vanishes when the lease lapses.
type Swap struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Lease    string `json:"lease,omitempty"`
}

// Watch waits until the key's revision exceeds After, at most WaitMilliseconds.
type Watch struct {
	Key              string `json:"key"`
	After            uint64 `json:"after"`
	WaitMilliseconds int    `json:"wait_milliseconds"`
}

// Grant asks for a lease.
type Grant struct {
	TTLMilliseconds int `json:"ttl_milliseconds"`
}

// KeepAlive renews a lease.
type KeepAlive struct {
	Lease string `json:"lease"`
}

// Lease is a granted lease and the time left.
type Lease struct {
	Lease            string `json:"lease"`
	LeftMilliseconds int    `json:"left_milliseconds"`
}
