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
	"almondreel.example/almondreel/internal/statesync"
)

// partitionTimeout is the delay before a call across a partition fails. It is longer
// than any caller waits for an answer.
const partitionTimeout = 3 * time.Second

var errUnreachable = errors.New("gateway is unreachable from the caller")

// Gateway is a gateway without a data path: it receives heartbeats, exchanges state with
// other gateways and plans placements.
type Gateway struct {
	daemon
	Desired *desired.State
	Table   *membership.Table
}

// AddGateway starts a gateway and adds it to the site. PublishInstances adds it to the
// platform's instance list.
func (s *Site) AddGateway(name, dataCentre string) (*Gateway, error) {
	g := &Gateway{daemon: daemon{Name: name, DataCentre: dataCentre, site: s}}
	s.setDataCentre(name, dataCentre)
	s.Gateways = append(s.Gateways, g)
	return g, g.Start()
}

// Start starts the gateway without configuration or placement, on new ports.
func (g *Gateway) Start() error {
	agentListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	gatewayListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	g.address = agentListener.Addr().String()
	g.Desired = desired.NewState()
	g.Table = membership.NewTable()
	keyValue, err := g.site.serve(g.keyValueHandler(), &g.site.traffic.KeyValue)
	if err != nil {
		return err
	}
	s := settings.Gateway{
		Identity:      settings.Identity{Name: g.Name, Region: g.DataCentre, DataCentre: g.DataCentre},
		ControlListen: g.address,
		Advertise:     gatewayListener.Addr().String(),
		KeyValue:      keyValue,
		Instances:     g.site.instancesURL,
		Origin:        g.site.originURL,
	}
	client := kv.NewClient(s.KeyValue)
	syncer := statesync.New(s, g.Desired, g.Table, client, nil, nil)
	handler, err := control.Handle(map[string]any{"Gateway": &gatewayReceiver{syncer: syncer, gateway: g}})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	g.mu.Lock()
	g.cancel = cancel
	g.server = &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	server := g.server
	g.mu.Unlock()
	g.start(ctx, func(context.Context) error {
		return server.Serve(countingListener{agentListener, &g.site.traffic.Heartbeats})
	})
	g.start(ctx, func(context.Context) error {
		return server.Serve(countingListener{gatewayListener, &g.site.traffic.Exchanges})
	})
	g.start(ctx, syncer.Run)
	g.start(ctx, planner.New(s, g.Desired, g.Table, client).Run)
	return nil
}

// keyValueHandler forwards calls to the key-value service. A call is aborted if the
// gateway has stopped or its data centre cannot reach the service, both before the call
// and after it, since a watch can wait for long.
func (g *Gateway) keyValueHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		g.abortIfUnreachable()
		answer := &bufferedAnswer{header: http.Header{}, status: http.StatusOK}
		g.site.KeyValue.ServeHTTP(answer, r)
		g.abortIfUnreachable()
		answer.copyTo(w)
	})
}

// abortIfUnreachable aborts the current HTTP handler if the gateway has stopped or cannot
// reach the key-value service.
func (g *Gateway) abortIfUnreachable() {
	if !g.Running() || !g.site.canReachKeyValue(g.Name) {
		panic(http.ErrAbortHandler)
	}
}

// bufferedAnswer holds an answer until it is known whether the gateway may get it.
type bufferedAnswer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (b *bufferedAnswer) Header() http.Header { return b.header }

// WriteHeader stores the answer's status.
func (b *bufferedAnswer) WriteHeader(status int) { b.status = status }

// Write appends to the answer's body.
func (b *bufferedAnswer) Write(data []byte) (int, error) { return b.body.Write(data) }

func (b *bufferedAnswer) copyTo(w http.ResponseWriter) {
	for name, values := range b.header {
		w.Header()[name] = values
	}
	w.WriteHeader(b.status)
	_, _ = w.Write(b.body.Bytes())
}

// gatewayReceiver serves calls to a gateway. It fails them if the caller's data centre is
// partitioned from the gateway's or the gateway has stopped.
type gatewayReceiver struct {
	syncer  *statesync.Syncer
	gateway *Gateway
}

// Heartbeat forwards an agent's heartbeat to the gateway.
func (r *gatewayReceiver) Heartbeat(request gateway.HeartbeatRequest, reply *gateway.HeartbeatReply) error {
	if err := r.checkReachable(request.Member.Name); err != nil {
		return err
	}
	return r.syncer.Heartbeat(request, reply)
}

// Exchange forwards another gateway's exchange request to the gateway.
func (r *gatewayReceiver) Exchange(request gateway.ExchangeRequest, reply *gateway.ExchangeReply) error {
	if err := r.checkReachable(request.From.Name); err != nil {
		return err
	}
	return r.syncer.Exchange(request, reply)
}

func (r *gatewayReceiver) checkReachable(caller string) error {
	if !r.gateway.Running() || !r.gateway.site.canReach(caller, r.gateway.Name) {
		time.Sleep(partitionTimeout)
		return errUnreachable
	}
	return nil
}
