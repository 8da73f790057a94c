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
	standkv "almondreel.example/almondreel/internal/standin/kv"
)

// storm is a site under random faults and what must hold meanwhile.
type storm struct {
	t        *testing.T
	site     *loopback.Site
	random   *rand.Rand
	held     map[any]uint64 // configuration revision by state, which never falls
	accepted int
	unknown  int
	version  int
}

// TestSoakStorm runs a site through random faults, deaths, restarts, cuts and
// changes. Revisions never fall; in the calm after each storm every daemon has
// the newest document, every accepted change is in its history, and the class
// is served by its replicas. SOAK=1 runs it for ten minutes, SEED=n repeats one.
func TestSoakStorm(t *testing.T) {
	if os.Getenv("SOAK") == "" {
		t.Parallel()
	}
	rounds := 1
	if os.Getenv("SOAK") != "" {
		rounds = 20
	}
	w := &storm{t: t, random: random(t), held: map[any]uint64{}, version: 1}
	w.site = serving(t, loopback.Options{DataCentres: 3, Gateways: 6, Agents: 15}, 6)
	for round := range rounds {
		ids := w.rage(12 * time.Second)
		w.calm(ids)
		t.Logf("round %d: %d changes accepted, %d unknown", round, w.accepted, w.unknown)
	}
}

func (w *storm) rage(length time.Duration) []string {
	var ids []string
	for end := time.Now().Add(length); time.Now().Before(end); {
		switch w.random.IntN(6) {
		case 0:
			w.faults()
		case 1:
			a, b := w.random.IntN(3), w.random.IntN(3)
			w.site.Cut(fmt.Sprintf("centre-%d", a), fmt.Sprintf("centre-%d", b), a != b && w.random.IntN(2) == 0)
		case 2:
			w.restart()
		default:
			ids = append(ids, w.change()...)
		}
		for range 10 {
			w.check()
			time.Sleep(20 * time.Millisecond)
		}
	}
	return ids
}

func (w *storm) faults() {
	all := []standkv.Faults{{}, {}, {Down: true}, {LoseAnswersOneIn: 2}, {LateWriteMilliseconds: 300},
		{StaleReads: true}, {DelayMilliseconds: 400}, {FlapMilliseconds: 300}}
	w.site.KeyValue.SetFaults(all[w.random.IntN(len(all))])
}

// restart stops a daemon, or starts one that is stopped, under another address.
func (w *storm) restart() {
	if w.random.IntN(2) == 0 {
		g := w.site.Gateways[w.random.IntN(len(w.site.Gateways))]
		if g.Running() {
			g.Stop()
		} else {
			require.NoError(w.t, g.Start())
		}
	} else {
		a := w.site.Agents[w.random.IntN(len(w.site.Agents))]
		if a.Running() {
			a.Stop()
		} else {
			a.Start()
		}
	}
	if w.random.IntN(2) == 0 {
		w.site.List()
	}
}

// change makes one change of the class and returns its ID if it was accepted.
func (w *storm) change() []string {
	ctx, cancel := context.WithTimeout(context.Background(), 800*time.Millisecond)
	defer cancel()
	if w.random.IntN(3) == 0 {
		w.version++
		publish(w.t, w.site, fmt.Sprint(w.version), uint64(w.version))
	}
	replicas := 4 + w.random.IntN(4)
	outcome := editor(w.site, "storm").Apply(ctx, "auction", func(held operator.Class, _ bool) (operator.Class, error) {
		held.Target.Version, held.Target.Replicas = fmt.Sprint(w.version), replicas
		return held, nil
	})
	switch o := outcome.(type) {
	case operator.Accepted:
		w.accepted++
		return []string{o.ChangeID}
	case operator.Unknown:
		w.unknown++
	}
	return nil
}

// check holds in the middle of every fault.
func (w *storm) check() {
	for _, g := range w.site.Gateways {
		snapshot, _ := g.Desired.Current()
		require.GreaterOrEqual(w.t, snapshot.Configuration.Revision, w.held[g.Desired])
		w.held[g.Desired] = snapshot.Configuration.Revision
	}
	for _, a := range w.site.Agents {
		snapshot, _ := a.Desired.Current()
		require.GreaterOrEqual(w.t, snapshot.Placement.Revision, w.held[a.Desired])
		w.held[a.Desired] = snapshot.Placement.Revision
	}
}

func (w *storm) calm(ids []string) {
	w.site.KeyValue.SetFaults(standkv.Faults{})
	for i := range 3 {
		w.site.CutOff(fmt.Sprintf("centre-%d", i), false)
	}
	for _, g := range w.site.Gateways {
		if !g.Running() {
			require.NoError(w.t, g.Start())
		}
	}
	for _, a := range w.site.Agents {
		if !a.Running() {
			a.Start()
		}
	}
	w.site.List()
	time.Sleep(500 * time.Millisecond) // late writes arrive
	entry, err := editor(w.site, "storm").Store.Read(context.Background())
	require.NoError(w.t, err)
	document, err := operator.Decode(entry)
	require.NoError(w.t, err)
	history := map[string]bool{}
	for _, c := range document.History {
		history[c.ChangeID] = true
	}
	for _, id := range ids {
		require.True(w.t, history[id], "change %s was accepted and is not in the document", id)
	}
	eventually(w.t, 60*time.Second, "the document is in force everywhere", inForce(w.site, entry.Revision))
	c, _ := document.Class("auction")
	eventually(w.t, 60*time.Second, "the class is served", func() (bool, string) {
		a, _ := newest(w.site).Of("auction")
		if a.Version != c.Target.Version || len(a.Instances) != c.Target.Replicas {
			return false, fmt.Sprintf("version %s on %d, not %s on %d", a.Version, len(a.Instances), c.Target.Version, c.Target.Replicas)
		}
		return allServe(w.site, a.Digest, c.Target.Replicas)()
	})
}
