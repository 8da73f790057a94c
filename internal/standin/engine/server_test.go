package engine_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/tmaxmax/go-sse"

	"almondreel.example/almondreel/internal/engine"
	"almondreel.example/almondreel/internal/manifest"
	"almondreel.example/almondreel/internal/source"
	standinengine "almondreel.example/almondreel/internal/standin/engine"
	standinsource "almondreel.example/almondreel/internal/standin/source"
)

const (
	servedDigest = manifest.Digest("sha256:served")
	waitTimeout  = 10 * time.Second
)

type fixture struct {
	*testing.T
	ctx    context.Context
	server *standinengine.Server
	url    string
}

func startEngine(t *testing.T, o standinengine.Options) fixture {
	server := standinengine.New(o)
	listener := httptest.NewServer(server)
	t.Cleanup(listener.Close)
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	t.Cleanup(cancel)
	return fixture{T: t, ctx: ctx, server: server, url: listener.URL}
}

func (f fixture) post(ctx context.Context, path string, body any) (*http.Response, error) {
	text, err := json.Marshal(body)
	require.NoError(f, err)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, f.url+path, bytes.NewReader(text))
	require.NoError(f, err)
	return http.DefaultClient.Do(request)
}

// completion is the response that a caller received.
type completion struct {
	status   int
	text     string
	digests  map[manifest.Digest]bool
	complete bool
}

func (f fixture) complete(c engine.Completion) (completion, error) {
	a := completion{digests: map[manifest.Digest]bool{}}
	response, err := f.post(f.ctx, engine.CompletionsPath, c)
	if err != nil {
		return a, err
	}
	defer func() { _ = response.Body.Close() }()
	a.status = response.StatusCode
	for event, err := range sse.Read(response.Body, nil) {
		if err != nil {
			return a, err
		}
		if event.Data == engine.Done {
			a.complete = true
			break
		}
		var token engine.Token
		require.NoError(f, json.Unmarshal([]byte(event.Data), &token))
		a.text += token.Text
		a.digests[token.Digest] = true
	}
	return a, nil
}

// sendOrder sends a load order and returns the response's status, or 0 if there was no
// response.
func (f fixture) sendOrder(o engine.LoadModel) int {
	response, err := f.post(f.ctx, engine.LoadModelPath, o)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	require.NoError(f, response.Body.Close())
	return response.StatusCode
}

// publishWeights publishes a version and returns an order to load it and its origin.
func publishWeights(t *testing.T, seed uint64) (engine.LoadModel, *standinsource.Server) {
	origin := standinsource.New(standinsource.Options{})
	m, err := origin.Publish("drover", "v1", standinsource.Version{Bytes: 100_000, Seed: seed})
	require.NoError(t, err)
	listener := httptest.NewServer(origin)
	t.Cleanup(listener.Close)
	return engine.LoadModel{
		Digest:        m.Digest(),
		Whole:         m.Whole,
		Source:        listener.URL + source.WeightsPath("drover", "v1"),
		FencingNumber: 5,
	}, origin
}

func TestCompletionIsDeterminedByVersionAndPrompt(t *testing.T) {
	f := startEngine(t, standinengine.Options{Digest: servedDigest})
	got, err := f.complete(engine.Completion{Prompt: "lot 12", MaxTokens: 5})
	require.NoError(t, err)
	require.True(t, got.complete)
	require.Equal(t, standinengine.CompletionText(servedDigest, "lot 12", 5), got.text)
	require.Equal(t, map[manifest.Digest]bool{servedDigest: true}, got.digests)
	require.NotEqual(t, got.text, standinengine.CompletionText("sha256:other", "lot 12", 5))
	require.NotEqual(t, got.text, standinengine.CompletionText(servedDigest, "lot 13", 5))

	rest, err := f.complete(engine.Completion{Prompt: "lot 12", MaxTokens: 5, ResumeFrom: 2})
	require.NoError(t, err)
	require.Equal(t, got.text, standinengine.CompletionText(servedDigest, "lot 12", 2)+rest.text)
}

func TestEngineWithoutVersionRefusesCompletions(t *testing.T) {
	f := startEngine(t, standinengine.Options{})
	got, err := f.complete(engine.Completion{Prompt: "x"})
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, got.status)
}

func TestInvalidCompletionsAreRefused(t *testing.T) {
	f := startEngine(t, standinengine.Options{Digest: servedDigest})
	for _, c := range []engine.Completion{{MaxTokens: -1}, {MaxTokens: 1 << 20}, {MaxTokens: 2, ResumeFrom: 2}, {ResumeFrom: -1}} {
		got, err := f.complete(c)
		require.NoError(t, err)
		require.Equal(t, http.StatusBadRequest, got.status)
	}
}

func TestWeightsAreVerifiedBeforeServing(t *testing.T) {
	f := startEngine(t, standinengine.Options{Digest: servedDigest})
	order, _ := publishWeights(t, 1)
	wrongOrder := order
	wrongOrder.Whole = "sha256:wrong"
	require.Equal(t, http.StatusUnprocessableEntity, f.sendOrder(wrongOrder))
	require.Equal(t, servedDigest, f.server.State().Digest)

	missingSource := order
	missingSource.Source += "/nowhere"
	require.Equal(t, http.StatusBadGateway, f.sendOrder(missingSource))
	require.Equal(t, servedDigest, f.server.State().Digest)

	require.Equal(t, http.StatusOK, f.sendOrder(order))
	require.Equal(t, order.Digest, f.server.State().Digest)
	require.Empty(t, f.server.State().Loading)
}

func TestOlderFencingNumberIsRefusedOnlyWithChecksOrders(t *testing.T) {
	order, _ := publishWeights(t, 1)
	older, _ := publishWeights(t, 2)
	older.FencingNumber = order.FencingNumber - 1
	checking := startEngine(t, standinengine.Options{ChecksOrders: true})
	require.Equal(t, http.StatusOK, checking.sendOrder(order))
	require.Equal(t, http.StatusConflict, checking.sendOrder(older))
	require.Equal(t, order.Digest, checking.server.State().Digest)
	require.Equal(t, order.FencingNumber, checking.server.State().FencingNumber)

	unchecked := startEngine(t, standinengine.Options{})
	require.Equal(t, http.StatusOK, unchecked.sendOrder(order))
	require.Equal(t, http.StatusOK, unchecked.sendOrder(older))
	require.Equal(t, older.Digest, unchecked.server.State().Digest)
}

func TestOrderWithLostResponseTakesEffect(t *testing.T) {
	f := startEngine(t, standinengine.Options{})
	f.server.SetFaults(standinengine.Faults{LoseOrderAnswers: true})
	order, _ := publishWeights(t, 1)
	require.Zero(t, f.sendOrder(order))
	require.Eventually(t, func() bool { return f.server.State().Digest == order.Digest }, waitTimeout, time.Millisecond)
}

func TestLaterOrderReplacesOrderInProgress(t *testing.T) {
	f := startEngine(t, standinengine.Options{})
	first, origin := publishWeights(t, 1)
	origin.SetFaults(standinsource.Faults{StallAfterBytes: 10})
	second, _ := publishWeights(t, 2)
	statuses := make(chan int, 1)
	go func() { statuses <- f.sendOrder(first) }()
	require.Eventually(t, func() bool { return f.server.State().Loading == first.Digest }, waitTimeout, time.Millisecond)
	require.Equal(t, http.StatusOK, f.sendOrder(second))
	require.NotEqual(t, http.StatusOK, <-statuses)
	require.Equal(t, second.Digest, f.server.State().Digest)
}

func TestRequestInProgressKeepsItsVersionAcrossLoad(t *testing.T) {
	f := startEngine(t, standinengine.Options{Digest: servedDigest, BetweenTokensMilliseconds: 20})
	order, _ := publishWeights(t, 1)
	type result struct {
		answer completion
		err    error
	}
	results := make(chan result, 1)
	go func() {
		a, err := f.complete(engine.Completion{Prompt: "x", MaxTokens: 20})
		results <- result{a, err}
	}()
	require.Eventually(t, func() bool { return f.load().Running == 1 }, waitTimeout, time.Millisecond)
	require.Equal(t, http.StatusOK, f.sendOrder(order))
	got := <-results
	require.NoError(t, got.err)
	require.True(t, got.answer.complete)
	require.Equal(t, standinengine.CompletionText(servedDigest, "x", 20), got.answer.text)
}

func (f fixture) load() engine.Load {
	response, err := http.Get(f.url + engine.LoadPath)
	require.NoError(f, err)
	defer func() { _ = response.Body.Close() }()
	var load engine.Load
	require.NoError(f, json.NewDecoder(response.Body).Decode(&load))
	return load
}

func TestQueuedRequestsStartByPriority(t *testing.T) {
	f := startEngine(t, standinengine.Options{Digest: servedDigest, Slots: 1, BetweenTokensMilliseconds: 20})
	finished := make(chan string, 3)
	send := func(name string, priority, waiting int) {
		go func() {
			_, _ = f.complete(engine.Completion{Prompt: name, MaxTokens: 20, Priority: priority})
			finished <- name
		}()
		require.Eventually(t, func() bool { return f.load().Waiting == waiting && f.load().Running == 1 }, waitTimeout, time.Millisecond)
	}
	send("running", 0, 0)
	send("low", 1, 1)
	send("high", 2, 2)
	require.Equal(t, []string{"running", "high", "low"}, []string{<-finished, <-finished, <-finished})
}

func TestCancelAndDisconnectFreeTheSlot(t *testing.T) {
	f := startEngine(t, standinengine.Options{Digest: servedDigest, BetweenTokensMilliseconds: 1000})
	ctx, cancel := context.WithCancel(f.ctx)
	response, err := f.post(ctx, engine.CompletionsPath, engine.Completion{Prompt: "x"})
	require.NoError(t, err)
	require.Equal(t, 1, f.load().Running)
	cancel()
	require.Eventually(t, func() bool { return f.load().Running == 0 }, waitTimeout, time.Millisecond)
	_ = response.Body.Close()

	response, err = f.post(f.ctx, engine.CompletionsPath, engine.Completion{Prompt: "x", RequestID: "r1"})
	require.NoError(t, err)
	stopped, err := f.post(f.ctx, engine.CancelPath, engine.Cancel{RequestID: "r1"})
	require.NoError(t, err)
	require.NoError(t, stopped.Body.Close())
	require.Equal(t, http.StatusNoContent, stopped.StatusCode)
	_, err = io.ReadAll(response.Body)
	require.Error(t, err)
	_ = response.Body.Close()
	require.Eventually(t, func() bool { return f.load().Running == 0 }, waitTimeout, time.Millisecond)
}

func TestCrashMarkerEndsEngineAndItsRequests(t *testing.T) {
	crashes := make(chan struct{}, 2)
	f := startEngine(t, standinengine.Options{
		Digest:                    servedDigest,
		BetweenTokensMilliseconds: 1000,
		CrashMarker:               "BOOM",
		Crash:                     func() { crashes <- struct{}{} },
	})
	otherResponse, err := f.post(f.ctx, engine.CompletionsPath, engine.Completion{Prompt: "x"})
	require.NoError(t, err)
	_, err = f.complete(engine.Completion{Prompt: "go BOOM now"})
	require.Error(t, err)
	<-crashes
	_, err = io.ReadAll(otherResponse.Body)
	require.Error(t, err)
	_ = otherResponse.Body.Close()
	_, err = f.complete(engine.Completion{Prompt: "x"})
	require.Error(t, err)
	require.Empty(t, crashes)
}

func TestLoadReportIsDelayed(t *testing.T) {
	f := startEngine(t, standinengine.Options{Digest: servedDigest, BetweenTokensMilliseconds: 2000, LoadLagMilliseconds: 600})
	response, err := f.post(f.ctx, engine.CompletionsPath, engine.Completion{Prompt: "x"})
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	require.Equal(t, engine.Load{Slots: 8}, f.load())
	require.Eventually(t, func() bool { return f.load().Running == 1 }, waitTimeout, time.Millisecond)
}

func TestFaultsAffectCompletionsAndLoads(t *testing.T) {
	f := startEngine(t, standinengine.Options{Digest: servedDigest})
	f.server.SetFaults(standinengine.Faults{CutAfterTokens: 3})
	got, err := f.complete(engine.Completion{Prompt: "x", MaxTokens: 9})
	require.Error(t, err)
	require.False(t, got.complete)
	require.Equal(t, standinengine.CompletionText(servedDigest, "x", 3), got.text)

	f.server.SetFaults(standinengine.Faults{WrongDigest: true})
	got, err = f.complete(engine.Completion{Prompt: "x"})
	require.NoError(t, err)
	require.NotContains(t, got.digests, servedDigest)

	f.server.SetFaults(standinengine.Faults{CloseAfterReading: true})
	_, err = f.complete(engine.Completion{Prompt: "x"})
	require.Error(t, err)

	f.server.SetFaults(standinengine.Faults{FailLoads: true})
	order, _ := publishWeights(t, 1)
	require.Equal(t, http.StatusInternalServerError, f.sendOrder(order))
	require.Equal(t, servedDigest, f.server.State().Digest)
}

func BenchmarkStream(b *testing.B) {
	server := httptest.NewServer(standinengine.New(standinengine.Options{Digest: servedDigest}))
	defer server.Close()
	body := fmt.Appendf(nil, `{"prompt":"x","max_tokens":100}`)
	for b.Loop() {
		response, err := http.Post(server.URL+engine.CompletionsPath, "application/json", bytes.NewReader(body))
		require.NoError(b, err)
		_, err = io.Copy(io.Discard, response.Body)
		require.NoError(b, err)
		require.NoError(b, response.Body.Close())
	}
}
