package fleet

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"almondreel.example/almondreel/internal/manifest"
	"almondreel.example/almondreel/internal/source"
)

// CreateClasses creates the site's classes with the operators' command line. Classes of
// kind Model get the model's first version.
func (f *Fleet) CreateClasses(ctx context.Context) error {
	for _, c := range f.Site.Classes {
		if err := f.runOperator(ctx, f.createArguments(c)...); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) createArguments(c Class) []string {
	args := []string{"class", "create", c.Name,
		"--kind", c.Kind,
		"--service", c.Service,
		"--replicas", strconv.Itoa(c.Replicas),
		"--priority", strconv.Itoa(c.Priority),
		"--answer-within", c.AnswerWithin,
	}
	if c.NotIdempotent {
		args = append(args, "--not-idempotent")
	}
	if c.Kind == "Model" {
		m := f.Site.Model
		args = append(args, "--model", m.Name, "--version", m.First.Version,
			"--ready-within", m.ReadyWithin, "--first-token", c.FirstToken, "--weighing", c.Weighing)
	}
	return args
}

// Release sets the target version of every class of kind Model.
func (f *Fleet) Release(ctx context.Context, version string) error {
	for _, c := range f.Site.Classes {
		if c.Kind != "Model" {
			continue
		}
		err := f.runOperator(ctx, "target", c.Name, "--version", version,
			"--replicas", strconv.Itoa(c.Replicas), "--ready-within", f.Site.Model.ReadyWithin)
		if err != nil {
			return err
		}
	}
	return nil
}

// runOperator runs an operator's command, and retries it until ctx ends while it is
// rejected because another change came first (exit code 3).
func (f *Fleet) runOperator(ctx context.Context, args ...string) error {
	const exitRejected = 3
	for {
		out, code, err := f.Operator(args...)
		if err != nil {
			return err
		}
		if code == 0 {
			return nil
		}
		if code != exitRejected || ctx.Err() != nil {
			return fmt.Errorf("almondreel %v: exit code %d: %s", args, code, out)
		}
	}
}

// AwaitServing waits until at least n agents serve the version, and returns its digest.
func (f *Fleet) AwaitServing(ctx context.Context, version string, n int) (string, error) {
	digest, err := f.VersionDigest(ctx, version)
	if err != nil {
		return "", err
	}
	for {
		serving := f.Serving(ctx, digest)
		if serving >= n {
			return string(digest), nil
		}
		select {
		case <-ctx.Done():
			return "", fmt.Errorf("wait for version %s: served by %d of %d instances: %w", version, serving, n, ctx.Err())
		case <-time.After(pollInterval):
		}
	}
}

// VersionDigest reads the version's manifest from the origin and returns its digest.
func (f *Fleet) VersionDigest(ctx context.Context, version string) (manifest.Digest, error) {
	var m manifest.Manifest
	url := "http://" + f.Platform.Origin + source.ManifestPath(f.Site.Model.Name, version)
	if err := GetJSON(ctx, url, &m); err != nil {
		return "", err
	}
	return m.Digest(), nil
}

// Serving returns the number of agents that report to accept requests for the version.
func (f *Fleet) Serving(ctx context.Context, digest manifest.Digest) int {
	n := 0
	for _, b := range f.Backends {
		var s struct {
			Open   bool            `json:"Open"`
			Digest manifest.Digest `json:"Digest"`
		}
		err := GetJSON(ctx, "http://"+b.AgentAddress+"/v1/serving", &s)
		if err == nil && s.Open && s.Digest == digest {
			n++
		}
	}
	return n
}

// OriginSent returns the number of bytes of the version's weights that the origin has
// sent.
func (f *Fleet) OriginSent(ctx context.Context, model, version string) (int64, error) {
	var sent struct {
		Versions []struct {
			Model, Version string
			Bytes          int64
		}
	}
	if err := GetJSON(ctx, "http://"+f.Platform.Origin+"/v1/sent", &sent); err != nil {
		return 0, err
	}
	for _, v := range sent.Versions {
		if v.Model == model && v.Version == version {
			return v.Bytes, nil
		}
	}
	return 0, nil
}

// AwaitOpen waits until the backend server's agent accepts requests.
func (f *Fleet) AwaitOpen(ctx context.Context, b Backend) error {
	return waitUntil(ctx, b.Instance+" does not accept requests", func() bool {
		var s struct{ Open bool }
		err := GetJSON(ctx, "http://"+b.AgentAddress+"/v1/serving", &s)
		return err == nil && s.Open
	})
}
