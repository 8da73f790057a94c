// Package daemon assembles the gateway and the agent for the operators' own instances
// from their components, and runs and drains them.
package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"time"

	"almondreel.example/almondreel/internal/agent"
	"almondreel.example/almondreel/internal/backendproxy"
	"almondreel.example/almondreel/internal/callerconn"
	"almondreel.example/almondreel/internal/connlimit"
	"almondreel.example/almondreel/internal/control"
	"almondreel.example/almondreel/internal/counter"
	"almondreel.example/almondreel/internal/desired"
	"almondreel.example/almondreel/internal/errs"
	"almondreel.example/almondreel/internal/heartbeat"
	"almondreel.example/almondreel/internal/logsink"
	"almondreel.example/almondreel/internal/replica"
	"almondreel.example/almondreel/internal/serving"
	"almondreel.example/almondreel/internal/settings"
	"almondreel.example/almondreel/internal/signals"
	"almondreel.example/almondreel/internal/supervisor"
	"almondreel.example/almondreel/internal/weights"
)

const (
	agentHeaderTimeout = 5 * time.Second
	agentIdleTimeout   = time.Minute
	agentHeaderBytes   = 64 << 10
	// leaveNoticeTime is the time for the gateways to learn that the agent is leaving
	// before its HTTP server stops.
	leaveNoticeTime   = 2500 * time.Millisecond
	agentDrainTimeout = 2 * time.Minute
)

// RunAgent runs an agent until a signal to stop is received, then drains it: it reports
// to the gateways that it is leaving, refuses new requests and completes those in
// progress.
func RunAgent(s settings.Agent, received *signals.Signals) error {
	defer logsink.Start(os.Stderr).Stop()
	limitMemory(s.MemoryMB)
	a := newAgent(s)
	server, err := a.newHTTPServer()
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return errs.Wrap(err, "listen", s.Listen)
	}
	listener = limitPeers(listener, server, connlimit.New(openFiles()))
	tree := supervisor.NewTree("almondreel-agent")
	// Task names appear in the log. The task "door" is the backend proxy.
	tree.Add("heartbeat", a.heartbeat.Run)
	tree.Add("door", a.backendProxy.Run)
	tree.Add("replica", a.replica)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			supervisor.Exit("almondreel-agent", err, 1)
		}
	}()
	err = supervisor.Main("almondreel-agent", received, tree, func(ctx context.Context) { a.drain(ctx, server) })
	<-stopped
	return err
}

// agentDaemon holds an agent's components.
type agentDaemon struct {
	settings     settings.Agent
	desired      *desired.State
	status       *serving.Tracker
	heartbeat    *heartbeat.Heartbeat
	backendProxy *backendproxy.Proxy
	weights      *weights.Weights
	replica      supervisor.Task
}

func newAgent(s settings.Agent) *agentDaemon {
	a := &agentDaemon{settings: s, desired: desired.NewState(), status: serving.NewTracker()}
	a.heartbeat = heartbeat.New(s, a.desired, a.status)
	a.backendProxy = backendproxy.New(s, a.status)
	a.weights = weights.New(s, a.heartbeat.Peers)
	a.replica = replica.NewPlainReconciler(s, a.desired, a.status).Run
	if s.Backend.Kind == settings.KindEngine {
		a.replica = replica.New(s, a.desired, a.status, a.weights).Run
	}
	return a
}

func (a *agentDaemon) newHTTPServer() (*http.Server, error) {
	rpcHandler, err := control.Handle(map[string]any{weights.ReceiverName: a.weights.Transfers.Receiver()})
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	a.weights.Register(mux)
	mux.Handle(control.Path, rpcHandler)
	mux.Handle("GET /metrics", counter.Handler())
	mux.Handle("GET "+serving.Path, a.status.Handler())
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /ready", a.ready)
	withBodies := http.NewServeMux()
	withBodies.Handle(agent.DispatchPath, a.backendProxy)
	withBodies.Handle("/", callerconn.WithoutBodies(mux, shortResponseTimeout))
	return &http.Server{
		Handler:           withBodies,
		ReadHeaderTimeout: agentHeaderTimeout,
		IdleTimeout:       agentIdleTimeout,
		MaxHeaderBytes:    agentHeaderBytes,
	}, nil
}

// ready answers 200 from when the agent has a configuration and a placement until it
// is leaving, and 503 otherwise.
func (a *agentDaemon) ready(w http.ResponseWriter, _ *http.Request) {
	snapshot, _ := a.desired.Current()
	complete := snapshot.EncodedConfiguration.Revision > 0 && snapshot.EncodedPlacement.Revision > 0
	if !complete || a.status.Status().Leaving {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// drain drains the agent's requests within agentDrainTimeout, waits for the rest of
// leaveNoticeTime and stops the HTTP server.
func (a *agentDaemon) drain(ctx context.Context, server *http.Server) {
	noticeEnd := time.Now().Add(leaveNoticeTime)
	drainCtx, cancel := context.WithTimeout(ctx, agentDrainTimeout)
	defer cancel()
	a.backendProxy.Drain(drainCtx)
	time.Sleep(time.Until(noticeEnd))
	shutDownAgent(ctx, server)
}
