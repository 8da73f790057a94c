// Package distribution_test releases a version on an example site of processes while
// agents are killed and suspended or the origin of weights fails.
package distribution_test

import (
	"context"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/fleet"
	standinsource "almondreel.example/almondreel/internal/standin/source"
)

const (
	programs = "../../bin"
	engines  = 6
	regions  = 3
)

// testSite returns the example site hollister with six engines and a second version
// whose transfer takes several seconds.
func testSite(t *testing.T) fleet.Site {
	t.Helper()
	s, err := fleet.LoadSite("../../examples/hollister.yaml")
	require.NoError(t, err)
	s.Services[0].Instances = engines
	for i := range s.Classes {
		s.Classes[i].Replicas = min(s.Classes[i].Replicas, engines)
	}
	s.Model.First.Bytes = 2 << 20
	s.Model.Next.Bytes = 16 << 20
	s.Model.Next.ChunkBytes = 128 << 10
	s.Links.OriginBytesPerSecond = 8 << 20
	s.Links.InstanceDownBytesPerSecond = 4 << 20
	s.Links.InstanceUpBytesPerSecond = 4 << 20
	return s
}

func start(t *testing.T) (*fleet.Fleet, context.Context) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Second)
	t.Cleanup(cancel)
	f, err := fleet.New(testSite(t), programs, t.TempDir())
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, f.Stop()) })
	require.NoError(t, f.Start(ctx))
	require.NoError(t, f.CreateClasses(ctx))
	require.NoError(t, f.Ready(ctx))
	_, err = f.AwaitServing(ctx, "1", engines)
	require.NoError(t, err)
	return f, ctx
}

// engineAgents returns the names of the agents of engines.
func engineAgents(f *fleet.Fleet) []string {
	var out []string
	for _, b := range f.Backends {
		if b.Service.Name == "assistant" {
			out = append(out, b.Instance)
		}
	}
	return out
}

// originCopies returns how many times the origin has sent version 2, in copies of its size.
func originCopies(t *testing.T, ctx context.Context, f *fleet.Fleet) float64 {
	t.Helper()
	bytes, err := f.OriginSent(ctx, f.Site.Model.Name, "2")
	require.NoError(t, err)
	return float64(bytes) / float64(f.Site.Model.Next.Bytes)
}

func TestTransferSurvivesKilledAndSuspendedAgents(t *testing.T) {
	f, ctx := start(t)
	agents := engineAgents(f)
	require.NoError(t, f.Release(ctx, "2"))
	require.Eventually(t, func() bool { return originCopies(t, ctx, f) > 0.2 }, 30*time.Second, 20*time.Millisecond)
	killed, suspended := f.Process(agents[0]), f.Process(agents[1])
	killed.Kill()
	suspended.Signal(syscall.SIGSTOP)
	time.Sleep(4 * time.Second)
	suspended.Signal(syscall.SIGCONT)
	require.NoError(t, killed.Start())
	_, err := f.AwaitServing(ctx, "2", engines)
	require.NoError(t, err)
	require.LessOrEqual(t, originCopies(t, ctx, f), regions*1.1)
}

func TestTransferSurvivesOriginOutage(t *testing.T) {
	f, ctx := start(t)
	require.NoError(t, f.Release(ctx, "2"))
	require.Eventually(t, func() bool { return originCopies(t, ctx, f) > 0.2 }, 30*time.Second, 20*time.Millisecond)
	faults := "http://" + f.Platform.Origin + "/faults"
	require.NoError(t, fleet.Put(ctx, faults, standinsource.Faults{Down: true}))
	time.Sleep(3 * time.Second)
	require.NoError(t, fleet.Put(ctx, faults, standinsource.Faults{CorruptOneIn: 50}))
	_, err := f.AwaitServing(ctx, "2", engines)
	require.NoError(t, err)
	require.LessOrEqual(t, originCopies(t, ctx, f), regions*1.1)
}
