// Package source is the stand-in for the origin of weights and for the weight store.
// It serves manifests and generated weights over HTTP at a limited total rate and
// injects faults.
package source

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"sort"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"almondreel.example/almondreel/internal/manifest"
	"almondreel.example/almondreel/internal/source"
	"almondreel.example/almondreel/internal/standin"
)

// SentPath is the path of the bytes sent so far; GET returns Sent.
const SentPath = "/v1/sent"

const (
	maxBodyBytes   = 1 << 16
	maxBytes       = 1 << 40 // per version
	maxChunks      = 1 << 20 // per version
	rateBurstBytes = 64 << 10
)

// Options configures a source. RateBytes limits the bytes per second over all
// connections together; 0 means no limit.
type Options struct {
	RateBytes int64
}

// Faults are the faults that the source injects into responses with weights. Down
// and DelayMilliseconds also apply to manifests.
type Faults struct {
	Down              bool  // connections are closed without a response
	DelayMilliseconds int   // delay before a response
	StallAfterBytes   int64 // a response stops after this many bytes and stays open; 0: off
	CorruptOneIn      int   // one response in this many has a changed byte; 0: none
	CutShortOneIn     int   // one response in this many has half the requested length; 0: none
	TooLongOneIn      int   // one response in this many is longer than requested; 0: none
	ChangeBytes       bool  // all bytes differ from those that the manifest describes
}

// Sent counts the bytes of weights sent.
type Sent struct {
	Bytes    int64
	Versions []VersionSent // sorted by model, then version
}

// VersionSent counts the bytes of one version that were sent.
type VersionSent struct {
	Model, Version string
	Bytes          int64
}

// publishedVersion is a version with its manifest.
type publishedVersion struct {
	version  Version
	manifest manifest.Manifest
}

type versionKey struct {
	model, version string
}

// Server is the stand-in. It is safe for concurrent use.
type Server struct {
	limiter *rate.Limiter
	mux     *http.ServeMux

	mu            sync.Mutex
	faults        Faults
	faultsChanged chan struct{} // closed and replaced when the faults change
	responses     int
	versions      map[versionKey]publishedVersion
	sent          map[versionKey]int64
}

// New returns a source with no versions.
func New(o Options) *Server {
	limit := rate.Inf
	if o.RateBytes > 0 {
		limit = rate.Limit(o.RateBytes)
	}
	s := &Server{
		limiter:       rate.NewLimiter(limit, rateBurstBytes),
		mux:           http.NewServeMux(),
		faultsChanged: make(chan struct{}),
		versions:      map[versionKey]publishedVersion{},
		sent:          map[versionKey]int64{},
	}
	s.mux.HandleFunc("GET "+source.ManifestPath("{model}", "{version}"), s.manifest)
	s.mux.HandleFunc("GET "+source.WeightsPath("{model}", "{version}"), s.weights)
	s.mux.HandleFunc("PUT /v1/models/{model}/{version}", s.publish)
	s.mux.HandleFunc("GET "+SentPath, func(w http.ResponseWriter, _ *http.Request) {
		standin.WriteJSON(w, http.StatusOK, s.Sent())
	})
	standin.HandleFaults(s.mux, func() any { return s.Faults() }, s.decodeFaults)
	return s
}

// ServeHTTP handles the requests that clients of internal/source send, and those
// that publish versions, read Sent and set faults.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Faults returns the current faults.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults replaces the faults. Stalled responses resume under the new faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	close(s.faultsChanged)
	s.faultsChanged = make(chan struct{})
}

func (s *Server) decodeFaults(body io.Reader) error {
	var f Faults
	if err := standin.DecodeStrict(body, &f); err != nil {
		return err
	}
	s.SetFaults(f)
	return nil
}

// Publish makes a version available, replacing one with the same model and version
// name, and returns its manifest. It returns an error if v is out of bounds.
func (s *Server) Publish(model, version string, v Version) (manifest.Manifest, error) {
	if v.ChunkBytes == 0 {
		v.ChunkBytes = defaultChunkBytes
	}
	if err := v.check(); err != nil {
		return manifest.Manifest{}, err
	}
	m, err := manifest.Build(model, version, NewReader(v), v.ChunkBytes)
	if err != nil {
		return manifest.Manifest{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.versions[versionKey{model, version}] = publishedVersion{version: v, manifest: m}
	return m, nil
}

func (v Version) check() error {
	if v.Bytes <= 0 || v.Bytes > maxBytes {
		return fmt.Errorf("version size is %d bytes, want 1 to %d", v.Bytes, int64(maxBytes))
	}
	if v.ChunkBytes <= 0 || v.ChunkBytes > manifest.MaxChunkBytes {
		return fmt.Errorf("chunk size is %d bytes, want 1 to %d", v.ChunkBytes, manifest.MaxChunkBytes)
	}
	if v.Bytes/v.ChunkBytes > maxChunks {
		return fmt.Errorf("version has more than %d chunks", maxChunks)
	}
	if v.SharedBytes < 0 || v.SharedBytes > v.Bytes {
		return errors.New("shared bytes are negative or exceed the version's bytes")
	}
	return nil
}

// Sent returns the number of bytes of weights sent so far.
func (s *Server) Sent() Sent {
	s.mu.Lock()
	defer s.mu.Unlock()
	total := Sent{Versions: []VersionSent{}}
	for key, bytes := range s.sent {
		total.Bytes += bytes
		total.Versions = append(total.Versions, VersionSent{Model: key.model, Version: key.version, Bytes: bytes})
	}
	sort.Slice(total.Versions, func(i, j int) bool {
		a, b := total.Versions[i], total.Versions[j]
		if a.Model != b.Model {
			return a.Model < b.Model
		}
		return a.Version < b.Version
	})
	return total
}

func (s *Server) publish(w http.ResponseWriter, r *http.Request) {
	var v Version
	if !standin.Decode(w, r, maxBodyBytes, &v) {
		return
	}
	m, err := s.Publish(r.PathValue("model"), r.PathValue("version"), v)
	if err != nil {
		standin.WriteError(w, http.StatusBadRequest, "%v", err)
		return
	}
	standin.WriteJSON(w, http.StatusOK, m)
}

// lookUp applies the faults Down and DelayMilliseconds and returns the requested
// version. If there is none, it responds with 404 and returns false.
func (s *Server) lookUp(w http.ResponseWriter, r *http.Request) (publishedVersion, bool) {
	faults := s.Faults()
	if faults.Down {
		standin.Abort()
	}
	standin.Sleep(r.Context(), faults.DelayMilliseconds)
	key := versionKey{r.PathValue("model"), r.PathValue("version")}
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.versions[key]
	if !ok {
		standin.WriteError(w, http.StatusNotFound, "model %s has no version %s", key.model, key.version)
	}
	return p, ok
}

func (s *Server) manifest(w http.ResponseWriter, r *http.Request) {
	p, ok := s.lookUp(w, r)
	if !ok {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(p.manifest.Encode())
}

func (s *Server) weights(w http.ResponseWriter, r *http.Request) {
	p, ok := s.lookUp(w, r)
	if !ok {
		return
	}
	f := s.nextFaults()
	v := p.version
	if f.changeBytes {
		v.Seed, v.SharedSeed = ^v.Seed, ^v.SharedSeed
	}
	if f.cutShort || f.tooLong {
		f.resizeRange(r, &v)
	}
	out := &faultyWriter{
		ResponseWriter: w,
		request:        r,
		server:         s,
		key:            versionKey{r.PathValue("model"), r.PathValue("version")},
		corrupt:        f.corrupt,
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	http.ServeContent(out, r, "", time.Time{}, NewReader(v))
}
