package weights_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"k8s.io/klog/v2"

	"almondreel.example/almondreel/internal/manifest"
	"almondreel.example/almondreel/internal/operator"
	"almondreel.example/almondreel/internal/settings"
	standinsource "almondreel.example/almondreel/internal/standin/source"
	"almondreel.example/almondreel/internal/swarm"
	"almondreel.example/almondreel/internal/transfer"
)

const (
	modelBytes = 4 << 20
	chunkBytes = 64 << 10
	linkBytes  = 4 << 20 // per second: modelBytes take about one second
)

func TestMain(m *testing.M) {
	klog.LogToStderr(false)
	klog.SetOutput(discardWriter{})
	os.Exit(m.Run())
}

type discardWriter struct{}

func (discardWriter) Write(p []byte) (int, error) { return len(p), nil }

func options(agents int) swarm.Options {
	return swarm.Options{
		Agents:      agents,
		OriginBytes: 2 * linkBytes,
		Link:        settings.Link{DownBytesPerSecond: linkBytes, UpBytesPerSecond: linkBytes},
	}
}

func start(t *testing.T, o swarm.Options) *swarm.Swarm {
	t.Helper()
	s, err := swarm.Start(o)
	require.NoError(t, err)
	t.Cleanup(s.Close)
	return s
}

func publish(t *testing.T, s *swarm.Swarm, version string, seed uint64) manifest.Manifest {
	t.Helper()
	m, err := s.Origin.Publish("model", version, standinsource.Version{
		Bytes: modelBytes, Seed: seed, ChunkBytes: chunkBytes, SharedBytes: modelBytes / 2, SharedSeed: 99,
	})
	require.NoError(t, err)
	return m
}

func fetchAll(s *swarm.Swarm, plan transfer.Plan) {
	for _, a := range s.Agents() {
		if a.Alive() {
			a.Fetch(plan)
		}
	}
}

// requireHeld waits until every live agent holds the verified version, and
// fails the test after the given time.
func requireHeld(t *testing.T, s *swarm.Swarm, d manifest.Digest, within time.Duration) {
	t.Helper()
	deadline := time.After(within)
	for _, a := range s.Agents() {
		if !a.Alive() {
			continue
		}
		select {
		case <-a.Transfer().Done():
		case <-deadline:
			have, chunks := a.Transfer().Progress()
			require.Failf(t, "version not held", "%s holds %d of %d chunks after %s", a.Settings.Name, have, chunks, within)
		}
		require.NoError(t, a.Transfer().Err())
		require.True(t, a.Weights.Store.Verified(d))
	}
}

// originCopies returns the bytes that the origin has sent, in multiples of
// modelBytes.
func originCopies(s *swarm.Swarm) float64 {
	return float64(s.Origin.Sent().Bytes) / modelBytes
}

// waitProgress waits until the agents together hold the given share of all
// chunks.
func waitProgress(t *testing.T, s *swarm.Swarm, share float64) {
	t.Helper()
	require.Eventually(t, func() bool {
		have, all := 0, 0
		for _, a := range s.Agents() {
			if a.Transfer() != nil {
				h, c := a.Transfer().Progress()
				have, all = have+h, all+c
			}
		}
		return all > 0 && float64(have) >= share*float64(all)
	}, 10*time.Second, 5*time.Millisecond)
}

func TestOriginSendsAboutOneCopy(t *testing.T) {
	t.Parallel()
	s := start(t, options(8))
	m := publish(t, s, "1", 1)
	fetchAll(s, s.PlanOf(m))
	requireHeld(t, s, m.Digest(), 15*time.Second)
	require.LessOrEqual(t, originCopies(s), 1.02)
}

func TestTransferSurvivesDeathStallAndCorruption(t *testing.T) {
	t.Parallel()
	s := start(t, options(12))
	m := publish(t, s, "1", 1)
	agents := s.Agents()
	for _, a := range agents {
		a.SetFaults(swarm.Faults{CorruptOneIn: 100})
	}
	s.Origin.SetFaults(standinsource.Faults{CorruptOneIn: 100})
	fetchAll(s, s.PlanOf(m))
	waitProgress(t, s, 0.1)
	agents[3].Kill()
	agents[4].SetFaults(swarm.Faults{Stalled: true})
	requireHeld(t, s, m.Digest(), 25*time.Second)
	require.LessOrEqual(t, originCopies(s), 1.1)
}

func TestInvalidChunksAreRejected(t *testing.T) {
	t.Parallel()
	for name, f := range map[string]swarm.Faults{
		"corrupt":   {CorruptOneIn: 1},
		"cut short": {CutShortOneIn: 1},
		"too long":  {TooLongOneIn: 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := start(t, options(6))
			m := publish(t, s, "1", 1)
			s.Agents()[0].SetFaults(f)
			s.Agents()[1].SetFaults(f)
			fetchAll(s, s.PlanOf(m))
			requireHeld(t, s, m.Digest(), 30*time.Second)
		})
	}
}

func TestTransferCompletesAfterOriginFailure(t *testing.T) {
	t.Parallel()
	for name, f := range map[string]standinsource.Faults{
		"down":      {Down: true},
		"stalled":   {StallAfterBytes: 1000},
		"slow":      {DelayMilliseconds: 1500},
		"changed":   {ChangeBytes: true},
		"corrupt":   {CorruptOneIn: 2},
		"cut short": {CutShortOneIn: 2},
		"too long":  {TooLongOneIn: 2},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := start(t, options(5))
			m := publish(t, s, "1", 1)
			fetchAll(s, s.PlanOf(m))
			waitProgress(t, s, 0.05)
			s.Origin.SetFaults(f)
			time.Sleep(2 * time.Second)
			s.Origin.SetFaults(standinsource.Faults{})
			requireHeld(t, s, m.Digest(), 25*time.Second)
		})
	}
}

func TestManifestWithOtherDigestIsRejected(t *testing.T) {
	t.Parallel()
	s := start(t, options(3))
	m := publish(t, s, "1", 1)
	_, err := s.Origin.Publish("model", "1", standinsource.Version{Bytes: modelBytes, Seed: 2, ChunkBytes: chunkBytes})
	require.NoError(t, err)
	fetchAll(s, s.PlanOf(m))
	time.Sleep(2 * time.Second)
	for _, a := range s.Agents() {
		have, _ := a.Transfer().Progress()
		require.Zero(t, have)
	}
	again := publish(t, s, "1", 1)
	require.Equal(t, m.Digest(), again.Digest())
	requireHeld(t, s, m.Digest(), 20*time.Second)
}

func TestManifestWithWrongWholeDigestFails(t *testing.T) {
	t.Parallel()
	s := start(t, options(2))
	a := s.Agents()[0]
	m := publish(t, s, "1", 1)
	m.Whole = manifest.Sum([]byte("other"))
	a.Weights.Store.AddVersion(m.Digest(), m)
	fetch := a.Fetch(s.PlanOf(m))
	select {
	case <-fetch.Done():
	case <-time.After(20 * time.Second):
		require.Fail(t, "the transfer did not end within 20 s")
	}
	require.True(t, errors.Is(fetch.Err(), transfer.ErrWholeDigest))
	require.False(t, a.Weights.Store.Verified(m.Digest()))
}

func TestVersionChangeDuringTransferReusesChunks(t *testing.T) {
	t.Parallel()
	s := start(t, options(6))
	var last manifest.Manifest
	for i := range 3 {
		last = publish(t, s, strconv.Itoa(i), uint64(i))
		fetchAll(s, s.PlanOf(last))
		if i < 2 {
			waitProgress(t, s, 0.2)
		}
	}
	requireHeld(t, s, last.Digest(), 20*time.Second)
	// All versions share one half, and the first two transfers were stopped early.
	require.LessOrEqual(t, originCopies(s), 2.1)
	before := originCopies(s)
	former := publish(t, s, "0", 0)
	fetchAll(s, s.PlanOf(former))
	requireHeld(t, s, former.Digest(), 20*time.Second)
	require.LessOrEqual(t, originCopies(s)-before, 0.52)
}

func TestReplacementAgentsDownloadNothing(t *testing.T) {
	t.Parallel()
	testReplacedAgents(t, 0)
}

// TestReplacementAgentsWaitForSlowHolders guards against a download from the
// origin when two agents are replaced together: the other replacement, which
// holds nothing, answers before the busy agents that hold the version.
func TestReplacementAgentsWaitForSlowHolders(t *testing.T) {
	t.Parallel()
	testReplacedAgents(t, 60)
}

// testReplacedAgents replaces two of six holders and requires that the origin
// sends nothing more. The other holders accept net/rpc connections only after the
// given delay.
func testReplacedAgents(t *testing.T, delayMilliseconds int) {
	t.Helper()
	s := start(t, options(6))
	m := publish(t, s, "1", 1)
	fetchAll(s, s.PlanOf(m))
	requireHeld(t, s, m.Digest(), 15*time.Second)
	before := s.Origin.Sent().Bytes
	s.Agents()[0].Kill()
	s.Agents()[1].Kill()
	for _, a := range s.Agents()[2:] {
		a.SetFaults(swarm.Faults{CallsDelayMilliseconds: delayMilliseconds})
	}
	for range 2 {
		_, err := s.Add()
		require.NoError(t, err)
	}
	plan := s.PlanOf(m)
	for _, a := range s.Agents()[6:] {
		a.Fetch(plan)
	}
	for _, a := range s.Agents()[2:6] {
		a.Transfer().Update(plan)
	}
	requireHeld(t, s, m.Digest(), 15*time.Second)
	require.Equal(t, before, s.Origin.Sent().Bytes)
}

func TestOriginBytesFollowWeighing(t *testing.T) {
	t.Parallel()
	for weighing, limit := range map[operator.Weighing]float64{operator.OriginBytes: 1.02, operator.Time: 3.05} {
		t.Run(string(weighing), func(t *testing.T) {
			t.Parallel()
			o := options(9)
			o.Regions = 3
			s := start(t, o)
			m := publish(t, s, "1", 1)
			plan := s.PlanOf(m)
			plan.Weighing = weighing
			fetchAll(s, plan)
			requireHeld(t, s, m.Digest(), 25*time.Second)
			require.LessOrEqual(t, originCopies(s), limit)
		})
	}
}

func TestRegionsDownloadFromOriginToMeetDeadline(t *testing.T) {
	t.Parallel()
	o := options(6)
	o.Regions = 2
	o.Link.RegionBytesPerSecond = 64 << 10 // 4 MiB take 21 s over three links
	s := start(t, o)
	m := publish(t, s, "1", 1)
	plan := s.PlanOf(m)
	plan.Weighing = operator.OriginBytes
	plan.ReadyBy = time.Now().Add(10 * time.Second)
	fetchAll(s, plan)
	requireHeld(t, s, m.Digest(), 15*time.Second)
	require.Greater(t, originCopies(s), 1.1)
	require.LessOrEqual(t, originCopies(s), 2.0)
}

func seed(t *testing.T) uint64 {
	t.Helper()
	value := rand.Uint64()
	if text := os.Getenv("SEED"); text != "" {
		parsed, err := strconv.ParseUint(text, 10, 64)
		require.NoError(t, err)
		value = parsed
	}
	t.Logf("SEED=%d", value)
	return value
}

// TestSoakRandomFaults injects faults, kills agents and publishes versions at
// random times. At the end every live agent must hold the last version.
func TestSoakRandomFaults(t *testing.T) {
	runs := 1
	if os.Getenv("SOAK") != "" {
		runs = 30
	}
	first := seed(t)
	for k := range runs {
		value := first + uint64(k)
		t.Run(fmt.Sprintf("SEED=%d", value), func(t *testing.T) { randomFaults(t, rand.New(rand.NewPCG(value, 1))) })
	}
}

func randomFaults(t *testing.T, r *rand.Rand) {
	s := start(t, options(10))
	last := publish(t, s, "0", 0)
	fetchAll(s, s.PlanOf(last))
	killed := 0
	for step := range 8 {
		time.Sleep(time.Duration(r.IntN(400)) * time.Millisecond)
		a := s.Agents()[r.IntN(10)]
		switch r.IntN(6) {
		case 0:
			if killed < 3 && a.Alive() {
				killed++
				a.Kill()
			}
		case 1:
			a.SetFaults(swarm.Faults{Stalled: true})
		case 2:
			a.SetFaults(swarm.Faults{CorruptOneIn: 1 + r.IntN(20), CutShortOneIn: 1 + r.IntN(20)})
		case 3:
			s.Origin.SetFaults(standinsource.Faults{CorruptOneIn: 1 + r.IntN(20), TooLongOneIn: 1 + r.IntN(20)})
		case 4:
			s.Origin.SetFaults(standinsource.Faults{Down: true})
		case 5:
			last = publish(t, s, strconv.Itoa(step+1), r.Uint64())
			fetchAll(s, s.PlanOf(last))
		}
	}
	s.Origin.SetFaults(standinsource.Faults{})
	for _, a := range s.Agents() {
		a.SetFaults(swarm.Faults{})
	}
	requireHeld(t, s, last.Digest(), 40*time.Second)
}

func TestStoreIsPreferredToOrigin(t *testing.T) {
	t.Parallel()
	for name, f := range map[string]standinsource.Faults{
		"well":    {},
		"down":    {Down: true},
		"stalled": {StallAfterBytes: 1000},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			o := options(5)
			o.StoreBytes = 2 * linkBytes
			s := start(t, o)
			m := publish(t, s, "1", 1)
			_, err := s.Store.Publish("model", "1", standinsource.Version{
				Bytes: modelBytes, Seed: 1, ChunkBytes: chunkBytes, SharedBytes: modelBytes / 2, SharedSeed: 99,
			})
			require.NoError(t, err)
			plan := s.PlanOf(m)
			plan.Weighing = operator.OriginBytes
			fetchAll(s, plan)
			waitProgress(t, s, 0.2)
			s.Store.SetFaults(f)
			requireHeld(t, s, m.Digest(), 25*time.Second)
			if name == "well" {
				require.Zero(t, s.Origin.Sent().Bytes)
				return
			}
			require.Greater(t, s.Origin.Sent().Bytes, int64(0))
			require.LessOrEqual(t, originCopies(s), 1.02)
		})
	}
}

// TestAgentDownloadsAloneWhenOthersStall guards against an agent that waits for
// members which are listed but never answer. It must download the version itself.
func TestAgentDownloadsAloneWhenOthersStall(t *testing.T) {
	t.Parallel()
	s := start(t, options(4))
	m := publish(t, s, "1", 1)
	for _, a := range s.Agents()[1:] {
		a.SetFaults(swarm.Faults{Stalled: true})
	}
	a := s.Agents()[0]
	fetch := a.Fetch(s.PlanOf(m))
	select {
	case <-fetch.Done():
	case <-time.After(30 * time.Second):
		have, chunks := fetch.Progress()
		require.Failf(t, "version not held", "%d of %d chunks after 30 s", have, chunks)
	}
	require.NoError(t, fetch.Err())
}
