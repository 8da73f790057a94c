package instances

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"almondreel.example/almondreel/internal/bounded"
	"almondreel.example/almondreel/internal/counter"
	"almondreel.example/almondreel/internal/errs"
)

const (
	listTimeout  = 5 * time.Second
	maxListBytes = 16 << 20
)

// Client reads the list of instances. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client of the platform's list at baseURL.
func NewClient(baseURL string) *Client {
	return &Client{base: baseURL, http: &http.Client{Transport: &http.Transport{MaxResponseHeaderBytes: bounded.MaxHeaderBytes, IdleConnTimeout: time.Minute}}}
}

// List reads the list of instances.
func (c *Client) List(ctx context.Context) (List, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+ListPath, nil)
	if err != nil {
		return List{}, errs.Wrap(err, "read instances", c.base)
	}
	counter.Add("InstanceListCalls", 1)
	response, err := c.http.Do(request)
	if err != nil {
		counter.Add("InstanceListFailed", 1)
		return List{}, errs.Wrap(err, "read instances", c.base)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		counter.Add("InstanceListFailed", 1)
		return List{}, errs.New("read instances", c.base, "status %d", response.StatusCode)
	}
	text, err := bounded.ReadAll(response.Body, maxListBytes)
	counter.Add("InstanceListReceivedBytes", int64(len(text)))
	if err != nil {
		return List{}, errs.Wrap(err, "read instances", c.base)
	}
	l := List{Bytes: len(text)}
	err = json.Unmarshal(text, &l)
	return l, errs.Wrap(err, "decode instances", c.base)
}

// WithRole returns the instances that have the role.
func (l List) WithRole(role Role) []Instance {
	var out []Instance
	for _, i := range l.Instances {
		if i.Role == role {
			out = append(out, i)
		}
	}
	return out
}
