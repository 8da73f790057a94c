package configuration_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/loopback"
	"almondreel.example/almondreel/internal/operator"
	standinkv "almondreel.example/almondreel/internal/standin/kv"
)

// soakRun is a site under random faults, with the state that the checks compare.
type soakRun struct {
	t        *testing.T
	site     *loopback.Site
	rng      *rand.Rand
	seen     map[any]uint64 // highest revision by *desired.State: of a gateway's configuration or an agent's placement
	accepted int
	unknown  int
	version  int
}

// TestSoakRandomFaults injects random key-value faults, partitions and daemon stops
// while a class is changed. Revisions must never fall. After each round's faults
// end, every daemon must have the newest configuration, its history must hold
// every accepted change, and the class must be served by its replicas. SOAK=1 runs
// 20 rounds, about ten minutes; SEED=n repeats a run.
func TestSoakRandomFaults(t *testing.T) {
	if os.Getenv("SOAK") == "" {
		t.Parallel()
	}
	rounds := 1
	if os.Getenv("SOAK") != "" {
		rounds = 20
	}
	r := &soakRun{t: t, rng: newRand(t), seen: map[any]uint64{}, version: 1}
	r.site = startServing(t, loopback.Options{DataCentres: 3, Gateways: 6, Agents: 15}, 6)
	for round := range rounds {
		ids := r.injectFaults(12 * time.Second)
		r.checkRecovery(ids)
		t.Logf("round %d: %d changes accepted, %d unknown", round, r.accepted, r.unknown)
	}
}

func (r *soakRun) injectFaults(length time.Duration) []string {
	var ids []string
	for end := time.Now().Add(length); time.Now().Before(end); {
		switch r.rng.IntN(6) {
		case 0:
			r.injectKeyValueFault()
		case 1:
			a, b := r.rng.IntN(3), r.rng.IntN(3)
			r.site.SetPartitioned(fmt.Sprintf("centre-%d", a), fmt.Sprintf("centre-%d", b), a != b && r.rng.IntN(2) == 0)
		case 2:
			r.toggleDaemon()
		default:
			ids = append(ids, r.changeClass()...)
		}
		for range 10 {
			r.checkRevisions()
			time.Sleep(20 * time.Millisecond)
		}
	}
	return ids
}

func (r *soakRun) injectKeyValueFault() {
	all := []standinkv.Faults{{}, {}, {Down: true}, {LoseAnswersOneIn: 2}, {LateWriteMilliseconds: 300},
		{StaleReads: true}, {DelayMilliseconds: 400}, {FlapMilliseconds: 300}}
	r.site.KeyValue.SetFaults(all[r.rng.IntN(len(all))])
}

// toggleDaemon stops a random daemon, or starts it again at another address if it
// is stopped. The platform's instance list is updated half of the time.
func (r *soakRun) toggleDaemon() {
	if r.rng.IntN(2) == 0 {
		g := r.site.Gateways[r.rng.IntN(len(r.site.Gateways))]
		if g.Running() {
			g.Stop()
		} else {
			require.NoError(r.t, g.Start())
		}
	} else {
		a := r.site.Agents[r.rng.IntN(len(r.site.Agents))]
		if a.Running() {
			a.Stop()
		} else {
			a.Start()
		}
	}
	if r.rng.IntN(2) == 0 {
		r.site.PublishInstances()
	}
}

// changeClass makes one change to the class and returns its ID if it was accepted.
func (r *soakRun) changeClass() []string {
	ctx, cancel := context.WithTimeout(context.Background(), 800*time.Millisecond)
	defer cancel()
	if r.rng.IntN(3) == 0 {
		r.version++
		publishVersion(r.t, r.site, fmt.Sprint(r.version), uint64(r.version))
	}
	replicas := 4 + r.rng.IntN(4)
	outcome := newEditor(r.site, "storm").Apply(ctx, "auction", func(c operator.Class, _ bool) (operator.Class, error) {
		c.Target.Version, c.Target.Replicas = fmt.Sprint(r.version), replicas
		return c, nil
	})
	switch o := outcome.(type) {
	case operator.Accepted:
		r.accepted++
		return []string{o.ChangeID}
	case operator.Unknown:
		r.unknown++
	}
	return nil
}

// checkRevisions requires that no daemon's revision has fallen. It must hold during
// every fault.
func (r *soakRun) checkRevisions() {
	for _, g := range r.site.Gateways {
		snapshot, _ := g.Desired.Current()
		require.GreaterOrEqual(r.t, snapshot.Configuration.Revision, r.seen[g.Desired])
		r.seen[g.Desired] = snapshot.Configuration.Revision
	}
	for _, a := range r.site.Agents {
		snapshot, _ := a.Desired.Current()
		require.GreaterOrEqual(r.t, snapshot.Placement.Revision, r.seen[a.Desired])
		r.seen[a.Desired] = snapshot.Placement.Revision
	}
}

func (r *soakRun) checkRecovery(ids []string) {
	r.site.KeyValue.SetFaults(standinkv.Faults{})
	for i := range 3 {
		r.site.SetIsolated(fmt.Sprintf("centre-%d", i), false)
	}
	for _, g := range r.site.Gateways {
		if !g.Running() {
			require.NoError(r.t, g.Start())
		}
	}
	for _, a := range r.site.Agents {
		if !a.Running() {
			a.Start()
		}
	}
	r.site.PublishInstances()
	time.Sleep(500 * time.Millisecond) // delayed writes may still arrive
	entry, err := newEditor(r.site, "storm").Store.Read(context.Background())
	require.NoError(r.t, err)
	document, err := operator.Decode(entry)
	require.NoError(r.t, err)
	history := map[string]bool{}
	for _, c := range document.History {
		history[c.ChangeID] = true
	}
	for _, id := range ids {
		require.True(r.t, history[id], "change %s was accepted but is missing from the configuration's history", id)
	}
	eventually(r.t, 60*time.Second, "every daemon has the newest configuration", inForce(r.site, entry.Revision))
	c, _ := document.Class("auction")
	eventually(r.t, 60*time.Second, "the class is served by its target replicas", func() (bool, string) {
		a, _ := newestPlacement(r.site).Assignment("auction")
		if a.Version != c.Target.Version || len(a.Instances) != c.Target.Replicas {
			return false, fmt.Sprintf("placed version %s on %d instances, want %s on %d", a.Version, len(a.Instances), c.Target.Version, c.Target.Replicas)
		}
		return servesOn(r.site, a.Digest, c.Target.Replicas)()
	})
}
