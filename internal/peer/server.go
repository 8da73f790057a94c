package peer

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"almondreel.example/almondreel/internal/agent"
	"almondreel.example/almondreel/internal/chunkstore"
	"almondreel.example/almondreel/internal/counter"
	"almondreel.example/almondreel/internal/link"
	"almondreel.example/almondreel/internal/manifest"
)

const (
	uploadSlots   = 2 // chunks sent at once
	uploadWaiting = 4 // requests that wait for a slot
	uploadWait    = 500 * time.Millisecond
	writeTimeout  = 5 * time.Second
	maxRegions    = 64
)

// Options of a server.
type Options struct {
	Region               string // of the agent
	UpBytesPerSecond     int64  // 0: not shaped
	RegionBytesPerSecond int64  // to each other region; 0: not shaped
}

// Server serves chunks and manifests to agents, and whole versions to the
// engine beside the agent.
type Server struct {
	options Options
	store   *chunkstore.Store
	up      *rate.Limiter
	near    *gate // uploads within the region
	far     *gate // uploads to other regions, slower

	mu      sync.Mutex
	regions map[string]*rate.Limiter
}

// NewServer returns a server of the chunks in store.
func NewServer(o Options, store *chunkstore.Store) *Server {
	return &Server{
		options: o,
		store:   store,
		up:      link.NewLimiter(o.UpBytesPerSecond),
		near:    newGate(),
		far:     newGate(),
		regions: map[string]*rate.Limiter{},
	}
}

// Register adds the server's paths to mux.
func (s *Server) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET "+agent.ChunkPath+"{digest}", s.chunk)
	mux.HandleFunc("GET "+agent.ManifestPath+"{digest}", s.manifest)
	mux.HandleFunc("GET "+agent.WeightsPath+"{digest}", s.weights)
}

func (s *Server) manifest(w http.ResponseWriter, r *http.Request) {
	m, ok := s.store.Manifest(manifest.Digest(r.PathValue("digest")))
	if !ok {
		http.Error(w, "version not held", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(m.Encode())
}

// weights serves a verified version to the engine beside the agent, unshaped.
func (s *Server) weights(w http.ResponseWriter, r *http.Request) {
	digest := manifest.Digest(r.PathValue("digest"))
	m, ok := s.store.Manifest(digest)
	if !ok || !s.store.Verified(digest) || !sameHost(r) {
		http.Error(w, "version not held whole", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.FormatInt(m.Bytes, 10))
	if err := s.store.WriteWhole(w, digest); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// sameHost reports whether the caller is on the agent's own instance.
func sameHost(r *http.Request) bool {
	local, ok := r.Context().Value(http.LocalAddrContextKey).(net.Addr)
	if !ok {
		return false
	}
	here, _, _ := net.SplitHostPort(local.String())
	caller, _, _ := net.SplitHostPort(r.RemoteAddr)
	return here == caller
}

func (s *Server) chunk(w http.ResponseWriter, r *http.Request) {
	data, ok := s.store.Chunk(manifest.Digest(r.PathValue("digest")))
	if !ok {
		counter.Add("UploadsRefused.Unknown", 1)
		http.Error(w, "chunk not held", http.StatusNotFound)
		return
	}
	region := s.region(strings.TrimSpace(r.Header.Get(agent.HeaderRegion)))
	g := s.near
	if region != nil {
		g = s.far
	}
	if !g.enter(r.Context()) {
		counter.Add("UploadsRefused.Busy", 1)
		http.Error(w, "all upload slots are taken", http.StatusServiceUnavailable)
		return
	}
	defer g.leave()
	s.send(w, r, data, region)
}

// gate bounds uploads: uploadSlots at once, uploadWaiting more in a queue.
type gate struct {
	slots   chan struct{}
	waiting chan struct{}
}

func newGate() *gate {
	return &gate{slots: make(chan struct{}, uploadSlots), waiting: make(chan struct{}, uploadSlots+uploadWaiting)}
}

// enter takes a slot; a full queue or a long wait means refused.
func (g *gate) enter(ctx context.Context) bool {
	select {
	case g.waiting <- struct{}{}:
	default:
		return false
	}
	timer := time.NewTimer(uploadWait)
	defer timer.Stop()
	select {
	case g.slots <- struct{}{}:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	<-g.waiting
	return false
}

func (g *gate) leave() {
	<-g.slots
	<-g.waiting
}

func (s *Server) send(w http.ResponseWriter, r *http.Request, data []byte, region *rate.Limiter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(s.sendTime(len(data))))
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	if err := link.Write(r.Context(), w, data, region, s.up); err != nil {
		counter.Add("UploadsCut", 1)
		panic(http.ErrAbortHandler)
	}
	counter.Add("ChunkSentBytes", int64(len(data)))
	if region != nil {
		counter.Add("RegionSentBytes", int64(len(data)))
	}
}

// sendTime bounds how long a receiver may take for a chunk of size bytes.
func (s *Server) sendTime(size int) time.Duration {
	slowest := s.options.UpBytesPerSecond
	if r := s.options.RegionBytesPerSecond; r > 0 && (slowest == 0 || r < slowest) {
		slowest = r
	}
	if slowest == 0 {
		return 6 * writeTimeout
	}
	return writeTimeout + 2*uploadSlots*time.Duration(size)*time.Second/time.Duration(slowest)
}

// region returns the limiter towards another region, nil for the agent's own.
func (s *Server) region(name string) *rate.Limiter {
	if name == s.options.Region || s.options.RegionBytesPerSecond <= 0 {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.regions) >= maxRegions && s.regions[name] == nil {
		name = ""
	}
	if s.regions[name] == nil {
		s.regions[name] = link.NewLimiter(s.options.RegionBytesPerSecond)
	}
	return s.regions[name]
}
