// Package configuration_test checks that operators' changes reach every gateway and agent,
// and that classes are placed and served, under outages, partitions and lost daemons.
package configuration_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/kv"
	"almondreel.example/almondreel/internal/loopback"
	"almondreel.example/almondreel/internal/manifest"
	"almondreel.example/almondreel/internal/operator"
	standinsource "almondreel.example/almondreel/internal/standin/source"
)

func startSite(t testing.TB, o loopback.Options) *loopback.Site {
	s, err := loopback.Start(o)
	require.NoError(t, err)
	t.Cleanup(s.Stop)
	return s
}

func publishVersion(t testing.TB, s *loopback.Site, version string, seed uint64) manifest.Digest {
	m, err := s.Origin.Publish("assistant", version, standinsource.Version{Bytes: 4096, Seed: seed, ChunkBytes: 512})
	require.NoError(t, err)
	return m.Digest()
}

func newClass(version string, replicas int) operator.Class {
	return operator.Class{Name: "auction", Kind: operator.Model, Service: "assistant", Idempotent: true,
		Target: operator.Target{Model: "assistant", Version: version, Replicas: replicas, Weighing: operator.Time, AnswerMilliseconds: 1000}}
}

func newEditor(s *loopback.Site, name string) operator.Editor {
	client := kv.NewClient(s.KeyValueURL()).WithPurpose("Operator")
	return operator.Editor{Store: kv.Key{Client: client, Name: operator.ConfigurationKey}, Operator: name}
}

// setClass sets the class to c, whatever it was, and returns the accepted revision.
// A rejected change, as after a stale read, is retried.
func setClass(t testing.TB, s *loopback.Site, c operator.Class) uint64 {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	for {
		outcome := newEditor(s, "tester").Apply(ctx, c.Name, func(operator.Class, bool) (operator.Class, error) { return c, nil })
		switch o := outcome.(type) {
		case operator.Accepted:
			return o.Revision
		case operator.Rejected:
			continue
		}
		require.Fail(t, "change not accepted", "%+v", outcome)
	}
}

// eventually waits until the condition holds and returns the time that it took. The
// condition also returns what it saw, for the failure's message.
func eventually(t testing.TB, within time.Duration, what string, condition func() (bool, string)) time.Duration {
	start := time.Now()
	for {
		ok, detail := condition()
		if ok {
			return time.Since(start)
		}
		if time.Since(start) > within {
			require.FailNow(t, what, "condition not met within %s: %s", within, detail)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// servesOn is the condition that at least n agents serve the version.
func servesOn(s *loopback.Site, d manifest.Digest, n int) func() (bool, string) {
	return func() (bool, string) {
		serving := 0
		for _, a := range s.Agents {
			if st := a.Tracker.Status(); a.Running() && st.Open && st.Digest == d {
				serving++
			}
		}
		return serving >= n, fmt.Sprintf("%d of %d instances serve", serving, n)
	}
}

// inForce is the condition that every running daemon has the configuration's revision
// or a newer one.
func inForce(s *loopback.Site, revision uint64) func() (bool, string) {
	return func() (bool, string) {
		behind := 0
		for _, g := range s.Gateways {
			if snapshot, _ := g.Desired.Current(); g.Running() && snapshot.Configuration.Revision < revision {
				behind++
			}
		}
		for _, a := range s.Agents {
			if snapshot, _ := a.Desired.Current(); a.Running() && snapshot.Configuration.Revision < revision {
				behind++
			}
		}
		return behind == 0, fmt.Sprintf("%d daemons have an older configuration", behind)
	}
}

func TestAcceptedTargetTakesEffect(t *testing.T) {
	t.Parallel()
	s := startSite(t, loopback.Options{DataCentres: 3, Gateways: 3, Agents: 12})
	first := publishVersion(t, s, "1", 1)
	revision := setClass(t, s, newClass("1", 9))
	t.Logf("configuration reached every daemon after %s", eventually(t, 8*time.Second, "the configuration reaches every daemon", inForce(s, revision)))
	t.Logf("9 replicas serve after %s", eventually(t, 15*time.Second, "version 1 is served", servesOn(s, first, 9)))
	second := publishVersion(t, s, "2", 2)
	setClass(t, s, newClass("2", 9))
	t.Logf("9 replicas changed version after %s", eventually(t, 30*time.Second, "version 2 is served", servesOn(s, second, 9)))
}

// newRand returns a random source and logs its seed; SEED=n repeats a run.
func newRand(t testing.TB) *rand.Rand {
	seed, err := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	if err != nil {
		seed = uint64(time.Now().UnixNano())
	}
	t.Logf("seed %d", seed)
	return rand.New(rand.NewPCG(seed, 0))
}

// setPriority sets the class's priority as the named operator and returns the outcome.
func setPriority(s *loopback.Site, name string, priority int) operator.Outcome {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	return newEditor(s, name).Apply(ctx, "auction", func(c operator.Class, _ bool) (operator.Class, error) {
		c.Priority = priority
		return c, nil
	})
}
