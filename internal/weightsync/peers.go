package weightsync

import (
	"context"
	"encoding/gob"
	"errors"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"golang.org/x/time/rate"

	"almondreel.example/almondreel/internal/bounded"
	"almondreel.example/almondreel/internal/counter"
	"almondreel.example/almondreel/internal/errs"
	"almondreel.example/almondreel/internal/peerconn"
)

const (
	piecePath    = "/pieces/"
	manifestPath = "/manifests/"
	// peerTimeout bounds a piece transfer from another agent. A piece takes 34
	// ms on an idle link, and eight times that on a congested one.
	peerTimeout = 1200 * time.Millisecond
)

// PeerClient fetches pieces and manifests from other agents.
type PeerClient struct{ client *http.Client }

// NewPeerClient returns a client that sends its requests through t, which it takes over.
func NewPeerClient(t *http.Transport) *PeerClient {
	return &PeerClient{client: &http.Client{Transport: peerconn.NewTransport(t)}}
}

// Piece reads a piece, without verifying its digest, and the set of pieces that
// the holder has, nil if it sent none. The error wraps errBusy if the holder's
// upload queue is full.
func (p *PeerClient) Piece(ctx context.Context, address, model string, version int64, piece int) ([]byte, []uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	body, have, err := p.get(ctx, address, piecePath+path(model, version)+"/"+strconv.Itoa(piece))
	if err != nil {
		return nil, have, err
	}
	defer body.Close()
	data, err := bounded.ReadAll(body, MaxPieceBytes)
	return data, have, errs.Wrap(err, "read piece", address)
}

// Manifest reads a manifest of at most MaxPieceBytes encoded bytes.
func (p *PeerClient) Manifest(ctx context.Context, address, model string, version int64) (Manifest, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	body, _, err := p.get(ctx, address, manifestPath+path(model, version))
	if err != nil {
		return Manifest{}, err
	}
	defer body.Close()
	var m Manifest
	if err := gob.NewDecoder(bounded.Reader(body, MaxPieceBytes)).Decode(&m); err != nil {
		return Manifest{}, errs.Wrap(err, "decode manifest", address)
	}
	return m, m.Check()
}

func path(model string, version int64) string {
	return url.PathEscape(model) + "/" + strconv.FormatInt(version, 10)
}

func (p *PeerClient) get(ctx context.Context, address, path string) (io.ReadCloser, []uint64, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return nil, nil, errs.Wrap(err, "build request", address)
	}
	response, err := p.client.Do(request)
	if err != nil {
		return nil, nil, errs.Wrap(err, "fetch", address)
	}
	have := parseHave(response.Header.Get(headerHave))
	if response.StatusCode == http.StatusServiceUnavailable {
		_ = response.Body.Close()
		return nil, have, errs.Wrap(errBusy, "fetch", address)
	}
	if response.StatusCode != http.StatusOK {
		_ = response.Body.Close()
		return nil, have, errs.New("fetch", address, "status %d", response.StatusCode)
	}
	return response.Body, have, nil
}

// headerHave carries the pieces that a holder has, as hexadecimal words of a
// bit set.
const headerHave = "Almondreel-Have"

func formatHave(have []uint64) string {
	words := make([]string, 0, len(have))
	for _, w := range have {
		words = append(words, strconv.FormatUint(w, 16))
	}
	return strings.Join(words, ",")
}

// parseHave returns nil for a header that is missing or malformed; the holder's
// last known piece set then stays.
func parseHave(text string) []uint64 {
	var have []uint64
	for _, word := range strings.Split(text, ",") {
		bits, err := strconv.ParseUint(word, 16, 64)
		if err != nil {
			return nil
		}
		have = append(have, bits)
	}
	return have
}

// Handler serves pieces and manifests to other agents.
func (a *Agent) Handler() http.Handler {
	uploads := make(chan struct{}, 1+maxWaitingUploads)
	sending := make(chan struct{}, 1)
	limiter := newUploadLimiter(a.LinkMegabits)
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+piecePath+"{model}/{version}/{piece}", func(w http.ResponseWriter, r *http.Request) {
		select {
		case uploads <- struct{}{}:
			defer func() { <-uploads }()
		default:
			a.rejectUpload(w, r)
			return
		}
		select {
		case sending <- struct{}{}:
			defer func() { <-sending }()
			a.servePiece(w, r, limiter)
		case <-r.Context().Done():
		}
	})
	mux.HandleFunc("GET "+manifestPath+"{model}/{version}", a.serveManifest)
	return mux
}

const bytesPerMegabit = 1e6 / 8

// newUploadLimiter limits uploads to a share of the link.
func newUploadLimiter(megabits float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(uploadShare*megabits*bytesPerMegabit), uploadChunkBytes)
}

// currentUploadShare returns the share of the link that pieces may take now.
func (a *Agent) currentUploadShare() float64 {
	if a.serving() {
		return uploadShare
	}
	return idleUploadShare
}

// uploadChunkBytes is the number of bytes written at once. It delays answers on
// the same link by 4 ms at most, at 7.6 Mbit/s.
const uploadChunkBytes = 4 << 10

// uploadProgressTimeout bounds the time to write a chunk. Uploads are sent one after
// another, so that a receiver that reads nothing would hold up all others.
const uploadProgressTimeout = 10 * time.Second

// send writes data at the limiter's rate. On an error the body stays shorter
// than its Content-Length, which the receiver detects.
func send(ctx context.Context, w http.ResponseWriter, limiter *rate.Limiter, data []byte) error {
	controller := http.NewResponseController(w)
	for chunk := range slices.Chunk(data, uploadChunkBytes) {
		if err := limiter.WaitN(ctx, len(chunk)); err != nil {
			return err
		}
		// A ResponseWriter without deadlines is one of a test.
		if err := controller.SetWriteDeadline(time.Now().Add(uploadProgressTimeout)); err != nil && !errors.Is(err, http.ErrNotSupported) {
			return err
		}
		if _, err := w.Write(chunk); err != nil {
			return err
		}
		if flusher, ok := w.(http.Flusher); ok {
			flusher.Flush()
		}
	}
	return nil
}

// rejectUpload answers 503 with the pieces held, so that the other agent tries
// another holder.
func (a *Agent) rejectUpload(w http.ResponseWriter, r *http.Request) {
	counter.Add("Refused.UploadsFull", 1)
	version, _ := strconv.ParseInt(r.PathValue("version"), 10, 64)
	if _, have := a.piece(r.PathValue("model"), version, 0); have != nil {
		w.Header().Set(headerHave, formatHave(have))
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (a *Agent) servePiece(w http.ResponseWriter, r *http.Request, limiter *rate.Limiter) {
	version, _ := strconv.ParseInt(r.PathValue("version"), 10, 64)
	n, err := strconv.Atoi(r.PathValue("piece"))
	data, have := a.piece(r.PathValue("model"), version, n)
	if have != nil {
		w.Header().Set(headerHave, formatHave(have))
	}
	if err != nil || data == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	limiter.SetLimit(rate.Limit(a.currentUploadShare() * a.LinkMegabits * bytesPerMegabit))
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	if err := send(r.Context(), w, limiter, data); err != nil {
		counter.Add("UploadsBroken", 1)
		return
	}
	counter.Add("SentPieceBytes", int64(len(data)))
}

func (a *Agent) serveManifest(w http.ResponseWriter, r *http.Request) {
	version, _ := strconv.ParseInt(r.PathValue("version"), 10, 64)
	m, ok := a.awaitManifest(r.Context(), r.PathValue("model"), version)
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_ = gob.NewEncoder(w).Encode(m)
}
