package instances

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"almondreel.example/almondreel/internal/bounded"
	"almondreel.example/almondreel/internal/counter"
	"almondreel.example/almondreel/internal/errs"
	"almondreel.example/almondreel/internal/event"
	"almondreel.example/almondreel/internal/jsonparts"
	"almondreel.example/almondreel/internal/peerconn"
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
	transport := &http.Transport{MaxResponseHeaderBytes: bounded.MaxHeaderBytes, IdleConnTimeout: time.Minute}
	return &Client{base: baseURL, http: &http.Client{Transport: peerconn.NewTransport(transport)}}
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
	l, err := decodeList(text)
	return l, errs.Wrap(err, "decode instances", c.base)
}

// decodeList decodes the instances one by one, so that one that is invalid hides no
// other. Of several with the same name it keeps the first.
func decodeList(text []byte) (List, error) {
	l := List{Bytes: len(text)}
	members, err := jsonparts.Members(text)
	if err != nil {
		return l, err
	}
	elements, err := jsonparts.Elements(members["Instances"])
	if err != nil {
		return l, err
	}
	seen := map[string]bool{}
	for n, element := range elements {
		i, err := decodeInstance(element)
		if err == nil && seen[i.Name] {
			err = fmt.Errorf("instance %.80q is listed twice", i.Name)
		}
		if err != nil {
			counter.Add("DocumentUndecodable", 1)
			event.Fail(event.DocumentUndecodable, err, "Instance", n, "Document", fmt.Sprintf("%.80q", element))
			continue
		}
		seen[i.Name] = true
		l.Instances = append(l.Instances, i)
	}
	return l, nil
}

func decodeInstance(text []byte) (Instance, error) {
	var i Instance
	if err := json.Unmarshal(text, &i); err != nil {
		return Instance{}, err
	}
	if i.Name == "" || i.Role != RoleGateway && i.Role != RoleAgent || i.State != Live && i.State != Leaving {
		return Instance{}, fmt.Errorf("instance %.80q has role %.80q and state %.80q", i.Name, i.Role, i.State)
	}
	host, port, err := net.SplitHostPort(i.Address)
	if err != nil {
		return Instance{}, err
	}
	if number, err := strconv.ParseUint(port, 10, 16); err != nil || number == 0 || host == "" {
		return Instance{}, fmt.Errorf("instance %.80q has address %.80q", i.Name, i.Address)
	}
	return i, nil
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
