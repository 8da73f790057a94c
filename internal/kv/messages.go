// Package kv is the client of the platform's key-value service, with its messages in
// JSON over HTTP: reads, compare-and-swap, leases and watches. Its errors
// distinguish writes that may have taken effect from those that have not.
package kv

// Paths of the service.
const (
	GetPath       = "/v1/get"        // POST Get, returns Entry
	ListPath      = "/v1/list"       // POST List, returns Entries
	SwapPath      = "/v1/swap"       // POST Swap, returns Entry; 409 with the current Entry
	WatchPath     = "/v1/watch"      // POST Watch, returns Entry if newer, 204 at the deadline
	GrantPath     = "/v1/lease"      // POST Grant, returns Lease
	KeepAlivePath = "/v1/keep_alive" // POST KeepAlive, returns Lease; 404 if the lease has expired
)

// MaxValueBytes is the size of the largest value that the service stores.
const MaxValueBytes = 1 << 20

// Entry is a key's value and the revision of its last change. Revision 0 means that
// the key is absent. All keys share one increasing sequence of revisions.
type Entry struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
}

// Get is a request for one key.
type Get struct {
	Key string `json:"key"`
}

// List is a request for the keys with a prefix that sort after After, at most Limit
// of them (0: all).
type List struct {
	Prefix string `json:"prefix"`
	After  string `json:"after,omitempty"`
	Limit  int    `json:"limit,omitempty"`
}

// Entries is the response to List, in key order.
type Entries struct {
	Entries []Entry `json:"entries"`
}

// Swap is a request to write Value if the key's revision still is Revision. An empty
// Value deletes the key. If Lease is set, the service deletes the key when that lease
// expires.
type Swap struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Lease    string `json:"lease,omitempty"`
}

// Watch is a request that waits until the key's revision is above After, at most
// WaitMilliseconds.
type Watch struct {
	Key              string `json:"key"`
	After            uint64 `json:"after"`
	WaitMilliseconds int    `json:"wait_milliseconds"`
}

// Grant is a request for a lease.
type Grant struct {
	TTLMilliseconds int `json:"ttl_milliseconds"`
}

// KeepAlive is a request to renew a lease.
type KeepAlive struct {
	Lease string `json:"lease"`
}

// Lease is the identifier of a lease and the time until it expires.
type Lease struct {
	Lease            string `json:"lease"`
	LeftMilliseconds int    `json:"left_milliseconds"`
}
