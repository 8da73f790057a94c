package loopback

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"almondreel.example/almondreel/internal/control"
	"almondreel.example/almondreel/internal/desired"
	"almondreel.example/almondreel/internal/gateway"
	"almondreel.example/almondreel/internal/kv"
	"almondreel.example/almondreel/internal/membership"
	"almondreel.example/almondreel/internal/planner"
	"almondreel.example/almondreel/internal/settings"
	"almondreel.example/almondreel/internal/spread"
)

// cutTimeout is longer than any caller waits for an answer.
const cutTimeout = 3 * time.Second

var errCut = errors.New("cut off")

// Gateway is the control part of a gateway.
type Gateway struct {
	daemon
	Desired *desired.State
	Table   *membership.Table
}

// AddGateway starts a gateway. Call List to have it listed.
func (s *Site) AddGateway(name, dataCentre string) (*Gateway, error) {
	g := &Gateway{daemon: daemon{Name: name, DataCentre: dataCentre, site: s}}
	s.settle(name, dataCentre)
	s.Gateways = append(s.Gateways, g)
	return g, g.Start()
}

// Start starts the gateway, with nothing in force.
func (g *Gateway) Start() error {
	agents, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	gateways, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	g.address = agents.Addr().String()
	g.Desired = desired.NewState()
	g.Table = membership.NewTable()
	keyValue, err := g.site.serve(g.keyValueGuard(), &g.site.traffic.KeyValue)
	if err != nil {
		return err
	}
	s := settings.Gateway{
		Identity:      settings.Identity{Name: g.Name, Region: g.DataCentre, DataCentre: g.DataCentre},
		ControlListen: g.address,
		Advertise:     gateways.Addr().String(),
		KeyValue:      keyValue,
		Instances:     g.site.instancesURL,
		Origin:        g.site.originURL,
	}
	client := kv.NewClient(s.KeyValue)
	sp := spread.New(s, g.Desired, g.Table, client, nil, nil)
	handler, err := control.Handle(map[string]any{"Gateway": &receiver{spread: sp, gateway: g}})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	g.mu.Lock()
	g.cancel = cancel
	g.server = &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	server := g.server
	g.mu.Unlock()
	g.run(ctx, func(context.Context) error { return server.Serve(counted{agents, &g.site.traffic.Heartbeats}) })
	g.run(ctx, func(context.Context) error { return server.Serve(counted{gateways, &g.site.traffic.Exchanges}) })
	g.run(ctx, sp.Run)
	g.run(ctx, planner.New(s, g.Desired, g.Table, client).Run)
	return nil
}

// keyValueGuard passes calls to the key-value service unless the gateway has
// stopped or its data centre does not reach the service, also while a call waits.
func (g *Gateway) keyValueGuard() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		g.checkKeyValue()
		answer := &buffer{header: http.Header{}, status: http.StatusOK}
		g.site.KeyValue.ServeHTTP(answer, r)
		g.checkKeyValue()
		answer.copyTo(w)
	})
}

func (g *Gateway) checkKeyValue() {
	if !g.Running() || !g.site.reachesKeyValue(g.Name) {
		panic(http.ErrAbortHandler)
	}
}

// buffer holds an answer until it is known whether it gets through.
type buffer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header returns the answer's header.
func (b *buffer) Header() http.Header { return b.header }

// WriteHeader takes the answer's status.
func (b *buffer) WriteHeader(status int) { b.status = status }

// Write takes the answer's bytes.
func (b *buffer) Write(data []byte) (int, error) { return b.body.Write(data) }

func (b *buffer) copyTo(w http.ResponseWriter) {
	for name, values := range b.header {
		w.Header()[name] = values
	}
	w.WriteHeader(b.status)
	_, _ = w.Write(b.body.Bytes())
}

// receiver takes a gateway's calls unless the caller is cut off or the gateway
// has stopped.
type receiver struct {
	spread  *spread.Spread
	gateway *Gateway
}

// Heartbeat passes an agent's heartbeat on.
func (r *receiver) Heartbeat(request gateway.HeartbeatRequest, reply *gateway.HeartbeatReply) error {
	if err := r.admit(request.Member.Name); err != nil {
		return err
	}
	return r.spread.Heartbeat(request, reply)
}

// Exchange passes a gateway's question on.
func (r *receiver) Exchange(request gateway.ExchangeRequest, reply *gateway.ExchangeReply) error {
	if err := r.admit(request.From.Name); err != nil {
		return err
	}
	return r.spread.Exchange(request, reply)
}

func (r *receiver) admit(caller string) error {
	if !r.gateway.Running() || !r.gateway.site.reaches(caller, r.gateway.Name) {
		time.Sleep(cutTimeout)
		return errCut
	}
	return nil
}
