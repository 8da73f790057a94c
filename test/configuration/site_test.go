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
	"almondreel.example/almondreel/internal/standin/source"
)

func start(t testing.TB, o loopback.Options) *loopback.Site {
	s, err := loopback.Start(o)
	require.NoError(t, err)
	t.Cleanup(s.Stop)
	return s
}

func publish(t testing.TB, s *loopback.Site, version string, seed uint64) manifest.Digest {
	m, err := s.Origin.Publish("assistant", version, source.Version{Bytes: 4096, Seed: seed, ChunkBytes: 512})
	require.NoError(t, err)
	return m.Digest()
}

func class(version string, replicas int) operator.Class {
	return operator.Class{Name: "auction", Kind: operator.Model, Service: "assistant", Idempotent: true,
		Target: operator.Target{Model: "assistant", Version: version, Replicas: replicas, Weighing: operator.Time, AnswerMilliseconds: 1000}}
}

func editor(s *loopback.Site, name string) operator.Editor {
	client := kv.NewClient(s.KeyValueURL()).For("Operator")
	return operator.Editor{Store: kv.Key{Client: client, Name: operator.ConfigurationKey}, Operator: name}
}

// set makes the class so, whatever it was, and returns the accepted revision.
// Rejected changes, as after an old read, are made again.
func set(t testing.TB, s *loopback.Site, c operator.Class) uint64 {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	for {
		outcome := editor(s, "tester").Apply(ctx, c.Name, func(operator.Class, bool) (operator.Class, error) { return c, nil })
		switch o := outcome.(type) {
		case operator.Accepted:
			return o.Revision
		case operator.Rejected:
			continue
		}
		require.Fail(t, "not accepted", "%+v", outcome)
	}
}

func eventually(t testing.TB, within time.Duration, what string, condition func() (bool, string)) time.Duration {
	began := time.Now()
	for {
		ok, seen := condition()
		if ok {
			return time.Since(began)
		}
		if time.Since(began) > within {
			require.FailNow(t, what, "not within %s: %s", within, seen)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func allServe(s *loopback.Site, d manifest.Digest, n int) func() (bool, string) {
	return func() (bool, string) {
		serving := 0
		for _, a := range s.Agents {
			if st := a.Board.Status(); a.Running() && st.Open && st.Digest == d {
				serving++
			}
		}
		return serving >= n, fmt.Sprintf("%d of %d serve", serving, n)
	}
}

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
		return behind == 0, fmt.Sprintf("%d behind", behind)
	}
}

func TestAcceptedTargetIsReached(t *testing.T) {
	t.Parallel()
	s := start(t, loopback.Options{DataCentres: 3, Gateways: 3, Agents: 12})
	first := publish(t, s, "1", 1)
	revision := set(t, s, class("1", 9))
	t.Logf("in force everywhere after %s", eventually(t, 8*time.Second, "in force", inForce(s, revision)))
	t.Logf("9 replicas serve after %s", eventually(t, 15*time.Second, "serve", allServe(s, first, 9)))
	second := publish(t, s, "2", 2)
	set(t, s, class("2", 9))
	t.Logf("9 replicas changed version after %s", eventually(t, 30*time.Second, "serve", allServe(s, second, 9)))
}

// random returns a source whose seed is printed; SEED=n repeats a run.
func random(t testing.TB) *rand.Rand {
	seed, err := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	if err != nil {
		seed = uint64(time.Now().UnixNano())
	}
	t.Logf("seed %d", seed)
	return rand.New(rand.NewPCG(seed, 0))
}

// change sets the class's priority as one operator.
func change(s *loopback.Site, name string, priority int) operator.Outcome {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	return editor(s, name).Apply(ctx, "auction", func(held operator.Class, _ bool) (operator.Class, error) {
		held.Priority = priority
		return held, nil
	})
}
