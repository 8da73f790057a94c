package hosted_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/bounded"
	"almondreel.example/almondreel/internal/callermemory"
	"almondreel.example/almondreel/internal/connlimit"
	"almondreel.example/almondreel/internal/hosted"
	"almondreel.example/almondreel/internal/hostedrpc"
	"almondreel.example/almondreel/internal/proxy"
	"almondreel.example/almondreel/internal/schedule"
	"almondreel.example/almondreel/internal/site"
	"almondreel.example/almondreel/platform"
)

// fixedView is a view whose configuration does not change.
type fixedView struct{ configuration *site.Configuration }

func (v fixedView) Configuration() *site.Configuration { return v.configuration }
func (fixedView) Fresh(time.Time) bool                 { return true }
func (fixedView) MinVersion(string, time.Time) int64   { return 0 }

// Guards against a change of the gateways that the pools learn of after the loads: the queued
// requests, which each new load dispatches, were judged by the shares of the former gateways.
func TestLoadsAreJudgedByCurrentGateways(t *testing.T) {
	release := make(chan bool)
	releaseOnce := sync.OnceFunc(func() { close(release) })
	var runs atomic.Int64
	engine := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		select {
		case <-release:
		case <-r.Context().Done():
		}
	}))
	defer engine.Close()
	c := &site.Configuration{
		Version: 1,
		Routes: []site.Route{{
			Name: "r", Host: "h", Prefix: "/", Kind: site.AtMostOnce, Public: true, Generates: true, MaxAttempts: 1,
			TimeoutMilliseconds: 20000, TargetMilliseconds: 15000, Targets: []site.Target{{Service: "pool", Weight: 1}},
		}},
		Services: map[string]site.Service{"pool": {Name: "pool"}},
	}
	c.Index()
	pools := proxy.NewPools(schedule.Options{ExactShares: true})
	pools.SetServers(time.Now(), map[string][]schedule.Server{"pool": {
		{ID: "i-0", Address: engine.Listener.Addr().String(), Slots: 3, StartUnixMS: 1, Ready: true},
	}})
	gateway := httptest.NewServer(proxy.NewHandler(proxy.Options{
		View: fixedView{c}, HeaderCodec: platform.HeaderCodec{}, Pools: pools, CrashDetector: proxy.NewCrashDetector(),
		RetryBudget:    proxy.RetryBudget{Ratio: 0.2, Base: 100, WindowMS: 10000, Gateways: func() int { return 1 }},
		Admission:      connlimit.New(64),
		ResponseMemory: bounded.NewMemoryBudget(1 << 20),
		CallerMemory:   callermemory.New(1 << 20),
	}))
	defer gateway.Close()
	defer releaseOnce()

	g := hosted.NewGossip(hostedrpc.Gateway{Name: "a", Address: "127.0.0.1:1"}, pools)
	other := hostedrpc.Gateway{Name: "b", Address: "127.0.0.1:2"}
	now := time.Now()
	g.Receive(hostedrpc.ExchangeRequest{Gateway: other}, now)
	g.UpdatePoolLoads(now)
	ended := make(chan error, 3)
	send := func() {
		r, err := http.NewRequest(http.MethodPost, gateway.URL, strings.NewReader("body"))
		if err != nil {
			ended <- err
			return
		}
		r.Host = "h"
		response, err := http.DefaultClient.Do(r)
		if err == nil {
			err = response.Body.Close()
		}
		ended <- err
	}
	for range 3 {
		go send()
	}
	require.Eventually(t, func() bool { return runs.Load() == 2 }, 5*time.Second, time.Millisecond)
	require.Never(t, func() bool { return runs.Load() > 2 }, 100*time.Millisecond, time.Millisecond, "two are this gateway's share")

	other.Leaving = true
	now = time.Now()
	g.Receive(hostedrpc.ExchangeRequest{Gateway: other}, now)
	g.UpdatePoolLoads(now)
	require.Eventually(t, func() bool { return runs.Load() == 3 }, 5*time.Second, time.Millisecond, "the others' share is free")
	releaseOnce()
	for range 3 {
		require.NoError(t, <-ended)
	}
}
