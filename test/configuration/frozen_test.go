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

	"almondreel.example/almondreel/internal/fleet"
	"almondreel.example/almondreel/internal/instances"
	"almondreel.example/almondreel/internal/kv"
	"almondreel.example/almondreel/internal/manifest"
	"almondreel.example/almondreel/internal/packed"
	"almondreel.example/almondreel/internal/placement"
	"almondreel.example/almondreel/internal/status"
)

const programs = "../../bin"

// processes starts a small site as real processes. Its engines ignore fencing numbers.
func processes(t *testing.T) (*fleet.Fleet, context.Context) {
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

// stored reads the placement that stands in the key-value service.
func stored(ctx context.Context, t *testing.T, f *fleet.Fleet) placement.Placement {
	e, err := kv.NewClient("http://"+f.Platform.KeyValue).Get(ctx, placement.Key)
	require.NoError(t, err)
	text, err := packed.Text(e.Value)
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

// TestFrozenHolderOfTheDutyChangesNothing stops the holder until its lease has
// lapsed and another has planned a release, and lets it go on.
func TestFrozenHolderOfTheDutyChangesNothing(t *testing.T) {
	t.Parallel()
	f, ctx := processes(t)
	versions := []string{"2", "1"}
	random := random(t)
	for _, version := range versions {
		time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
		frozen := stored(ctx, t, f).Holder
		f.Process(frozen).Signal(syscall.SIGSTOP)
		began := time.Now()
		eventually(t, 10*time.Second, "another holder", func() (bool, string) {
			p := stored(ctx, t, f)
			return p.Holder != frozen, p.Holder
		})
		t.Logf("%s frozen; the duty was handed over after %s", frozen, time.Since(began))
		require.NoError(t, f.Release(ctx, version))
		digest, err := f.AwaitServing(ctx, version, 4)
		require.NoError(t, err)
		time.Sleep(time.Second)
		before := stored(ctx, t, f)
		f.Process(frozen).Signal(syscall.SIGCONT)
		for stop := time.Now().Add(6 * time.Second); time.Now().Before(stop); time.Sleep(50 * time.Millisecond) {
			p := stored(ctx, t, f)
			require.NotEqual(t, frozen, p.Holder, "the woken holder wrote a placement")
			require.True(t, p.Same(before), "the placement changed after the holder woke")
			for instance, d := range engineStates(ctx, f) {
				require.EqualValues(t, digest, d, "engine of %s", instance)
			}
		}
		eventually(t, 10*time.Second, "the woken gateway knows the newest placement", func() (bool, string) {
			s := statusOf(ctx, f, frozen)
			return s.Placement == before.Revision, fmt.Sprint(s.Placement, before.Revision)
		})
	}
}

func statusOf(ctx context.Context, f *fleet.Fleet, name string) status.Status {
	var s status.Status
	for _, g := range f.Gateways {
		if g.Name == name {
			_ = fleet.GetJSON(ctx, "http://"+g.Control+status.Path, &s)
		}
	}
	return s
}

// TestDataCentreOfProcessesLost kills all of a data centre's processes and has
// the platform drop them from its list.
func TestDataCentreOfProcessesLost(t *testing.T) {
	t.Parallel()
	f, ctx := processes(t)
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
	require.NoError(t, unlist(ctx, f, dead))
	began := time.Now()
	eventually(t, 60*time.Second, "no class is placed on the lost instances", func() (bool, string) {
		p := stored(ctx, t, f)
		for _, name := range dead {
			if len(p.On(name)) > 0 {
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

// unlist has the platform list all instances but those that are gone.
func unlist(ctx context.Context, f *fleet.Fleet, gone []string) error {
	var l instances.List
	if err := fleet.GetJSON(ctx, "http://"+f.Platform.Instances+instances.ListPath, &l); err != nil {
		return err
	}
	l.Instances = slices.DeleteFunc(l.Instances, func(i instances.Instance) bool { return slices.Contains(gone, i.Name) })
	return fleet.Put(ctx, "http://"+f.Platform.Instances+instances.ListPath, l)
}
