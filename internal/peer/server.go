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
	"almondreel.example/almondreel/internal/chunkio"
	"almondreel.example/almondreel/internal/chunkstore"
	"almondreel.example/almondreel/internal/counter"
	"almondreel.example/almondreel/internal/manifest"
)

const (
	uploadSlots      = 2 // chunks sent at once
	maxQueuedUploads = 4 // requests that may wait for a slot
	maxQueueTime     = 500 * time.Millisecond
	writeTimeout     = 5 * time.Second
	maxRegions       = 64
)

// Options of a server.
type Options struct {
	Region               string // of the agent
	UpBytesPerSecond     int64  // 0: unlimited
	RegionBytesPerSecond int64  // to each other region; 0: unlimited
}

// Server serves chunks and manifests to agents, and whole versions to the engine
// on the agent's instance.
type Server struct {
	options            Options
	store              *chunkstore.Store
	upLimiter          *rate.Limiter
	regionUploads      *uploadQueue // uploads within the region
	crossRegionUploads *uploadQueue // uploads to other regions, which are slower

	mu             sync.Mutex
	regionLimiters map[string]*rate.Limiter
}

// NewServer returns a server of the chunks in store.
func NewServer(o Options, store *chunkstore.Store) *Server {
	return &Server{
		options:            o,
		store:              store,
		upLimiter:          chunkio.NewLimiter(o.UpBytesPerSecond),
		regionUploads:      newUploadQueue(),
		crossRegionUploads: newUploadQueue(),
		regionLimiters:     map[string]*rate.Limiter{},
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

// weights serves a verified version to the engine on the agent's instance,
// without a rate limit.
func (s *Server) weights(w http.ResponseWriter, r *http.Request) {
	digest := manifest.Digest(r.PathValue("digest"))
	m, ok := s.store.Manifest(digest)
	if !ok || !s.store.Verified(digest) || !sameInstance(r) {
		http.Error(w, "version not held whole", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.FormatInt(m.Bytes, 10))
	if err := s.store.WriteVersion(w, digest); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// sameInstance reports whether the request comes from the agent's own instance.
func sameInstance(r *http.Request) bool {
	local, ok := r.Context().Value(http.LocalAddrContextKey).(net.Addr)
	if !ok {
		return false
	}
	own, _, _ := net.SplitHostPort(local.String())
	caller, _, _ := net.SplitHostPort(r.RemoteAddr)
	return own == caller
}

func (s *Server) chunk(w http.ResponseWriter, r *http.Request) {
	data, ok := s.store.Chunk(manifest.Digest(r.PathValue("digest")))
	if !ok {
		counter.Add("UploadsRefused.Unknown", 1)
		http.Error(w, "chunk not held", http.StatusNotFound)
		return
	}
	limiter := s.regionLimiter(strings.TrimSpace(r.Header.Get(agent.HeaderRegion)))
	queue := s.regionUploads
	if limiter != nil {
		queue = s.crossRegionUploads
	}
	if !queue.acquire(r.Context()) {
		counter.Add("UploadsRefused.Busy", 1)
		http.Error(w, "all upload slots are taken", http.StatusServiceUnavailable)
		return
	}
	defer queue.release()
	s.send(w, r, data, limiter)
}

// uploadQueue admits uploadSlots uploads at once and queues maxQueuedUploads more.
type uploadQueue struct {
	slots    chan struct{}
	admitted chan struct{}
}

func newUploadQueue() *uploadQueue {
	return &uploadQueue{slots: make(chan struct{}, uploadSlots), admitted: make(chan struct{}, uploadSlots+maxQueuedUploads)}
}

// acquire waits for a slot, at most maxQueueTime. It returns false if the queue
// is full, the wait is over or ctx ends.
func (q *uploadQueue) acquire(ctx context.Context) bool {
	select {
	case q.admitted <- struct{}{}:
	default:
		return false
	}
	timer := time.NewTimer(maxQueueTime)
	defer timer.Stop()
	select {
	case q.slots <- struct{}{}:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	<-q.admitted
	return false
}

func (q *uploadQueue) release() {
	<-q.slots
	<-q.admitted
}

func (s *Server) send(w http.ResponseWriter, r *http.Request, data []byte, regionLimiter *rate.Limiter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(s.maxSendTime(len(data))))
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	if err := chunkio.Write(r.Context(), w, data, regionLimiter, s.upLimiter); err != nil {
		counter.Add("UploadsCut", 1)
		panic(http.ErrAbortHandler)
	}
	counter.Add("ChunkSentBytes", int64(len(data)))
	if regionLimiter != nil {
		counter.Add("RegionSentBytes", int64(len(data)))
	}
}

// maxSendTime returns the longest time that a receiver may take for a chunk of
// size bytes.
func (s *Server) maxSendTime(size int) time.Duration {
	slowest := s.options.UpBytesPerSecond
	if r := s.options.RegionBytesPerSecond; r > 0 && (slowest == 0 || r < slowest) {
		slowest = r
	}
	if slowest == 0 {
		return 6 * writeTimeout
	}
	return writeTimeout + 2*uploadSlots*time.Duration(size)*time.Second/time.Duration(slowest)
}

// regionLimiter returns the limiter of uploads to another region, or nil for the
// agent's own. Beyond maxRegions, further regions share one limiter.
func (s *Server) regionLimiter(name string) *rate.Limiter {
	if name == s.options.Region || s.options.RegionBytesPerSecond <= 0 {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.regionLimiters) >= maxRegions && s.regionLimiters[name] == nil {
		name = ""
	}
	if s.regionLimiters[name] == nil {
		s.regionLimiters[name] = chunkio.NewLimiter(s.options.RegionBytesPerSecond)
	}
	return s.regionLimiters[name]
}
