package configuration_test

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/compress"
	"almondreel.example/almondreel/internal/fleet"
	"almondreel.example/almondreel/internal/instances"
	"almondreel.example/almondreel/internal/kv"
	"almondreel.example/almondreel/internal/manifest"
	"almondreel.example/almondreel/internal/placement"
	"almondreel.example/almondreel/internal/status"
)

const programs = "../../bin"

// startProcesses starts a small site as processes and waits until it serves. Its
// engines do not check fencing numbers.
func startProcesses(t *testing.T) (*fleet.Fleet, context.Context) {
	s, err := fleet.LoadSite("../../examples/hollister.yaml")
	require.NoError(t, err)
	s.Services[0].Instances, s.Services[0].ChecksOrders = 4, false
	for i := range s.Classes {
		s.Classes[i].Replicas = min(s.Classes[i].Replicas, 4)
	}
	s.Model.First.Bytes, s.Model.Next.Bytes = 2<<20, 2<<20
	f, err := fleet.New(s, programs, t.TempDir())
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, f.Stop()) })
	ctx, cancel := context.WithTimeout(context.Background(), 90*time.Second)
	t.Cleanup(cancel)
	require.NoError(t, f.Start(ctx))
	require.NoError(t, f.CreateClasses(ctx))
	require.NoError(t, f.Ready(ctx))
	_, err = f.AwaitServing(ctx, "1", 4)
	require.NoError(t, err)
	return f, ctx
}

// storedPlacement reads the placement from the key-value service.
func storedPlacement(ctx context.Context, t *testing.T, f *fleet.Fleet) placement.Placement {
	e, err := kv.NewClient("http://"+f.Platform.KeyValue).Get(ctx, placement.Key)
	require.NoError(t, err)
	text, err := compress.GunzipIfCompressed(e.Value)
	require.NoError(t, err)
	var p placement.Placement
	require.NoError(t, json.Unmarshal(text, &p))
	return p.WithRevision(e.Revision)
}

func engineStates(ctx context.Context, f *fleet.Fleet) map[string]manifest.Digest {
	out := map[string]manifest.Digest{}
	for _, b := range f.Backends {
		var s struct {
			Digest manifest.Digest `json:"digest"`
		}
		if b.Service.Kind == "Engine" && fleet.GetJSON(ctx, "http://"+b.Address+"/v1/state", &s) == nil {
			out[b.Instance] = s.Digest
		}
	}
	return out
}

// TestSuspendedLeaseHolderWritesNothing suspends the planner lease's holder until the
// lease has expired and another gateway has planned a release, then resumes it. The
// resumed holder must not write an outdated placement or make an engine load an
// older version.
func TestSuspendedLeaseHolderWritesNothing(t *testing.T) {
	t.Parallel()
	f, ctx := startProcesses(t)
	versions := []string{"2", "1"}
	rng := newRand(t)
	for _, version := range versions {
		time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
		suspended := storedPlacement(ctx, t, f).Holder
		f.Process(suspended).Signal(syscall.SIGSTOP)
		began := time.Now()
		eventually(t, 10*time.Second, "another gateway holds the planner lease", func() (bool, string) {
			p := storedPlacement(ctx, t, f)
			return p.Holder != suspended, p.Holder
		})
		t.Logf("%s suspended; the planner lease moved after %s", suspended, time.Since(began))
		require.NoError(t, f.Release(ctx, version))
		digest, err := f.AwaitServing(ctx, version, 4)
		require.NoError(t, err)
		time.Sleep(time.Second)
		before := storedPlacement(ctx, t, f)
		f.Process(suspended).Signal(syscall.SIGCONT)
		for stop := time.Now().Add(6 * time.Second); time.Now().Before(stop); time.Sleep(50 * time.Millisecond) {
			p := storedPlacement(ctx, t, f)
			require.NotEqual(t, suspended, p.Holder, "the resumed holder wrote a placement")
			require.True(t, p.SameAssignments(before), "the placement changed after the holder resumed")
			for instance, d := range engineStates(ctx, f) {
				require.EqualValues(t, digest, d, "digest served by the engine of %s", instance)
			}
		}
		eventually(t, 10*time.Second, "the resumed gateway has the newest placement", func() (bool, string) {
			s, err := statusOf(ctx, f, suspended)
			return s.Placement == before.Revision, fmt.Sprint(s.Placement, before.Revision, err)
		})
	}
}

func statusOf(ctx context.Context, f *fleet.Fleet, name string) (s status.Status, err error) {
	for _, g := range f.Gateways {
		if g.Name == name {
			err = fleet.GetJSON(ctx, "http://"+g.ControlAddress+status.Path, &s)
		}
	}
	return s, err
}

// TestLostDataCentreOfProcessesIsReplaced kills all processes of a data centre and
// removes them from the platform's instance list. No class may stay placed on them.
func TestLostDataCentreOfProcessesIsReplaced(t *testing.T) {
	t.Parallel()
	f, ctx := startProcesses(t)
	lost := f.Site.Regions[1].DataCentre
	var dead []string
	for _, g := range f.Gateways {
		if g.Region.DataCentre == lost {
			f.Process(g.Name).Kill()
			dead = append(dead, g.Name)
		}
	}
	for _, b := range f.Backends {
		if b.Region.DataCentre == lost {
			f.Process(b.Instance).Kill()
			f.Process("backend-" + b.Instance).Kill()
			dead = append(dead, b.Instance)
		}
	}
	require.NoError(t, removeFromList(ctx, f, dead))
	began := time.Now()
	eventually(t, 60*time.Second, "no class is placed on the lost instances", func() (bool, string) {
		p := storedPlacement(ctx, t, f)
		for _, name := range dead {
			if len(p.AssignmentsOn(name)) > 0 {
				return false, name
			}
		}
		return true, ""
	})
	t.Logf("lost data centre replaced after %s", time.Since(began))
	out, code, err := f.Operator("status")
	require.NoError(t, err)
	require.Zero(t, code, out)
}

// removeFromList removes the named instances from the platform's instance list.
func removeFromList(ctx context.Context, f *fleet.Fleet, gone []string) error {
	var l instances.List
	if err := fleet.GetJSON(ctx, "http://"+f.Platform.Instances+instances.ListPath, &l); err != nil {
		return err
	}
	l.Instances = slices.DeleteFunc(l.Instances, func(i instances.Instance) bool { return slices.Contains(gone, i.Name) })
	return fleet.Put(ctx, "http://"+f.Platform.Instances+instances.ListPath, l)
}
