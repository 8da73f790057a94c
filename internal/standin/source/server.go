// Package source is a stand-in for the origin of weights and for the weight
// store: generated versions behind one overall rate, with fault switches.
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

// SentPath answers Sent.
const SentPath = "/v1/sent"

const (
	maxBodyBytes   = 1 << 16
	maxBytes       = 1 << 40 // of a version
	maxChunks      = 1 << 20
	rateBurstBytes = 64 << 10
)

// Options of a source. RateBytes is its rate in bytes per second for all
// connections together; 0 means no limit.
type Options struct {
	RateBytes int64
}

// Faults are the source's fault switches. They apply to weights; Down and
// DelayMilliseconds apply to manifests too.
type Faults struct {
	Down              bool  // connections are closed
	DelayMilliseconds int   // before an answer
	StallAfterBytes   int64 // an answer stops there and stays open; 0: none
	CorruptOneIn      int   // one answer in this many has a changed byte
	CutShortOneIn     int   // one answer in this many is half as long as asked
	TooLongOneIn      int   // one answer in this many is longer than asked
	ChangeBytes       bool  // bytes differ from those that the manifest describes
}

// Sent counts the bytes of weights that were sent.
type Sent struct {
	Bytes    int64
	Versions []VersionSent // in order of model and version
}

// VersionSent is one version's share.
type VersionSent struct {
	Model, Version string
	Bytes          int64
}

// published is a version under its name.
type published struct {
	version  Version
	manifest manifest.Manifest
}

type name struct {
	model, version string
}

// Server is the stand-in. It is safe for concurrent use.
type Server struct {
	limiter *rate.Limiter
	mux     *http.ServeMux

	mu      sync.Mutex
	faults  Faults
	cleared chan struct{} // closed when the faults change
	answers int
	models  map[name]published
	sent    map[name]int64
}

// New returns a source with no versions.
func New(o Options) *Server {
	limit := rate.Inf
	if o.RateBytes > 0 {
		limit = rate.Limit(o.RateBytes)
	}
	s := &Server{
		limiter: rate.NewLimiter(limit, rateBurstBytes),
		mux:     http.NewServeMux(),
		cleared: make(chan struct{}),
		models:  map[name]published{},
		sent:    map[name]int64{},
	}
	s.mux.HandleFunc("GET "+source.ManifestPath("{model}", "{version}"), s.manifest)
	s.mux.HandleFunc("GET "+source.WeightsPath("{model}", "{version}"), s.weights)
	s.mux.HandleFunc("PUT /v1/models/{model}/{version}", s.publish)
	s.mux.HandleFunc("GET "+SentPath, func(w http.ResponseWriter, _ *http.Request) {
		standin.Answer(w, http.StatusOK, s.Sent())
	})
	standin.HandleFaults(s.mux, func() any { return s.Faults() }, s.decodeFaults)
	return s
}

// ServeHTTP answers the calls of internal/source.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Faults returns the fault switches.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults replaces the fault switches and lets stalled answers go on.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	close(s.cleared)
	s.cleared = make(chan struct{})
}

func (s *Server) decodeFaults(body io.Reader) error {
	var f Faults
	if err := standin.DecodeStrict(body, &f); err != nil {
		return err
	}
	s.SetFaults(f)
	return nil
}

// Publish puts weights under a name, in place of what had that name, and
// returns their manifest.
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
	s.models[name{model, version}] = published{version: v, manifest: m}
	return m, nil
}

func (v Version) check() error {
	if v.Bytes <= 0 || v.Bytes > maxBytes {
		return fmt.Errorf("version has %d bytes, expected 1 to %d", v.Bytes, int64(maxBytes))
	}
	if v.ChunkBytes <= 0 || v.ChunkBytes > manifest.MaxChunkBytes {
		return fmt.Errorf("chunks have %d bytes, expected 1 to %d", v.ChunkBytes, manifest.MaxChunkBytes)
	}
	if v.Bytes/v.ChunkBytes > maxChunks {
		return fmt.Errorf("version has more than %d chunks", maxChunks)
	}
	if v.SharedBytes < 0 || v.SharedBytes > v.Bytes {
		return errors.New("shared bytes exceed the version")
	}
	return nil
}

// Sent returns the bytes of weights sent so far.
func (s *Server) Sent() Sent {
	s.mu.Lock()
	defer s.mu.Unlock()
	total := Sent{Versions: []VersionSent{}}
	for n, bytes := range s.sent {
		total.Bytes += bytes
		total.Versions = append(total.Versions, VersionSent{Model: n.model, Version: n.version, Bytes: bytes})
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
		standin.Refuse(w, http.StatusBadRequest, "%v", err)
		return
	}
	standin.Answer(w, http.StatusOK, m)
}

// find returns the named version after the faults that delay or end an answer.
func (s *Server) find(w http.ResponseWriter, r *http.Request) (published, bool) {
	faults := s.Faults()
	if faults.Down {
		standin.Abort()
	}
	standin.Sleep(r.Context(), faults.DelayMilliseconds)
	n := name{r.PathValue("model"), r.PathValue("version")}
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.models[n]
	if !ok {
		standin.Refuse(w, http.StatusNotFound, "model %s has no version %s", n.model, n.version)
	}
	return p, ok
}

func (s *Server) manifest(w http.ResponseWriter, r *http.Request) {
	p, ok := s.find(w, r)
	if !ok {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(p.manifest.Encode())
}

func (s *Server) weights(w http.ResponseWriter, r *http.Request) {
	p, ok := s.find(w, r)
	if !ok {
		return
	}
	f := s.nextFault()
	v := p.version
	if f.change {
		v.Seed, v.SharedSeed = ^v.Seed, ^v.SharedSeed
	}
	if f.cutShort || f.tooLong {
		f.resize(r, &v)
	}
	out := &shaped{
		ResponseWriter: w,
		request:        r,
		server:         s,
		name:           name{r.PathValue("model"), r.PathValue("version")},
		corrupt:        f.corrupt,
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	http.ServeContent(out, r, "", time.Time{}, NewReader(v))
}
