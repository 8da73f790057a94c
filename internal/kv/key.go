package kv

import (
	"context"
	"errors"

	"almondreel.example/almondreel/pkg/condwrite"
)

// Key is one key of the service. It implements condwrite.Store.
type Key struct {
	Client *Client
	Name   string
}

// Read returns the key's entry, which may be out of date.
func (k Key) Read(ctx context.Context) (condwrite.Entry, error) {
	e, err := k.Client.Get(ctx, k.Name)
	return condwrite.Entry{Value: e.Value, Revision: e.Revision}, err
}

// Swap writes value if the key's revision is revision, and translates the result to
// a condwrite.SwapResult.
func (k Key) Swap(ctx context.Context, value []byte, revision uint64) condwrite.SwapResult {
	e, err := k.Client.Swap(ctx, Swap{Key: k.Name, Value: value, Revision: revision})
	var conflict *Conflict
	var unavailable *Unavailable
	var ambiguous *Ambiguous
	switch {
	case err == nil:
		return condwrite.Written{Revision: e.Revision}
	case errors.As(err, &conflict):
		c := conflict.Current
		return condwrite.Conflict{Current: condwrite.Entry{Value: c.Value, Revision: c.Revision}}
	case errors.As(err, &unavailable):
		return condwrite.Unavailable{Err: err}
	case errors.As(err, &ambiguous):
		return condwrite.Ambiguous{Err: err}
	}
	return condwrite.Refused{Err: err}
}
