// Package daemon assembles the programs from their parts.
package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"almondreel.example/almondreel/internal/agent"
	"almondreel.example/almondreel/internal/control"
	"almondreel.example/almondreel/internal/counter"
	"almondreel.example/almondreel/internal/desired"
	"almondreel.example/almondreel/internal/door"
	"almondreel.example/almondreel/internal/duty"
	"almondreel.example/almondreel/internal/errs"
	"almondreel.example/almondreel/internal/heartbeat"
	"almondreel.example/almondreel/internal/replica"
	"almondreel.example/almondreel/internal/serving"
	"almondreel.example/almondreel/internal/settings"
	"almondreel.example/almondreel/internal/weights"
)

const (
	agentHeaderTimeout = 5 * time.Second
	agentIdleTimeout   = time.Minute
	agentHeaderBytes   = 64 << 10
	// leaveTime lets the gateways hear that the agent is leaving before its door stops answering.
	leaveTime     = 2500 * time.Millisecond
	drainTime     = 2 * time.Minute
	agentStopTime = 5 * time.Second
)

// RunAgent runs an agent until SIGINT or SIGTERM, and drains it then: no new
// work is taken, requests in progress end, and the gateways are told first.
func RunAgent(s settings.Agent) error {
	a := newAgent(s)
	server, err := a.server()
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return errs.Wrap(err, "listen", s.Listen)
	}
	tree := duty.NewTree("almondreel-agent")
	tree.Add("heartbeat", a.heartbeat.Run)
	tree.Add("door", a.door.Run)
	tree.Add("replica", a.replica)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			duty.Exit("almondreel-agent", err, 1)
		}
	}()
	err = duty.Main("almondreel-agent", tree, func(ctx context.Context) { a.drain(ctx, server) })
	<-stopped
	return err
}

type agentParts struct {
	settings  settings.Agent
	desired   *desired.State
	board     *serving.Board
	heartbeat *heartbeat.Heartbeat
	door      *door.Door
	weights   *weights.Weights
	replica   duty.Func
}

func newAgent(s settings.Agent) *agentParts {
	a := &agentParts{settings: s, desired: desired.NewState(), board: serving.NewBoard()}
	a.heartbeat = heartbeat.New(s, a.desired, a.board)
	a.door = door.New(s, a.board)
	a.weights = weights.New(s, a.heartbeat.Peers)
	a.replica = replica.NewPlain(s, a.desired, a.board).Run
	if s.Backend.Kind == settings.KindEngine {
		a.replica = replica.New(s, a.desired, a.board, a.weights).Run
	}
	return a
}

func (a *agentParts) server() (*http.Server, error) {
	rpc, err := control.Handle(map[string]any{weights.ReceiverName: a.weights.Exchange.Receiver()})
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	a.weights.Register(mux)
	mux.Handle(agent.DispatchPath, a.door)
	mux.Handle(control.Path, rpc)
	mux.Handle("GET /metrics", counter.Handler())
	mux.Handle("GET "+serving.Path, a.board.Handler())
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /ready", a.ready)
	return &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: agentHeaderTimeout,
		IdleTimeout:       agentIdleTimeout,
		MaxHeaderBytes:    agentHeaderBytes,
	}, nil
}

// ready answers 200 once configuration and placement are in force, until the agent leaves.
func (a *agentParts) ready(w http.ResponseWriter, _ *http.Request) {
	snapshot, _ := a.desired.Current()
	adopted := snapshot.EncodedConfiguration.Revision > 0 && snapshot.EncodedPlacement.Revision > 0
	if !adopted || a.board.Status().Leaving {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// drain says that the agent is leaving, lets requests end, and stops the server.
func (a *agentParts) drain(ctx context.Context, server *http.Server) {
	told := time.Now().Add(leaveTime)
	draining, cancel := context.WithTimeout(ctx, drainTime)
	defer cancel()
	a.door.Drain(draining)
	time.Sleep(time.Until(told))
	stopping, cancelStop := context.WithTimeout(ctx, agentStopTime)
	defer cancelStop()
	if err := server.Shutdown(stopping); err != nil {
		_ = server.Close()
	}
}
