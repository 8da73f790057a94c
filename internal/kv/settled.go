package kv

import (
	"context"
	"errors"

	"almondreel.example/almondreel/pkg/settle"
)

// Key is one key of the service as a settle.Store.
type Key struct {
	Client *Client
	Name   string
}

// Read returns the entry, which may be an older one.
func (k Key) Read(ctx context.Context) (settle.Entry, error) {
	e, err := k.Client.Get(ctx, k.Name)
	return settle.Entry{Value: e.Value, Revision: e.Revision}, err
}

// Swap writes value if the key's revision is revision.
func (k Key) Swap(ctx context.Context, value []byte, revision uint64) settle.Answer {
	e, err := k.Client.Swap(ctx, Swap{Key: k.Name, Value: value, Revision: revision})
	var conflict *Conflict
	var unavailable *Unavailable
	var ambiguous *Ambiguous
	switch {
	case err == nil:
		return settle.Written{Revision: e.Revision}
	case errors.As(err, &conflict):
		c := conflict.Current
		return settle.Conflict{Current: settle.Entry{Value: c.Value, Revision: c.Revision}}
	case errors.As(err, &unavailable):
		return settle.Unavailable{Err: err}
	case errors.As(err, &ambiguous):
		return settle.Lost{Err: err}
	}
	return settle.Refused{Err: err}
}
