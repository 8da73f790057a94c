package reel

import (
	"context"
	"encoding/gob"
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
)

const (
	piecePath    = "/pieces/"
	manifestPath = "/manifests/"
	// peerAnswer bounds a piece from another agent: one takes 34 ms alone on a
	// link, and eight times that on a link that is squeezed.
	peerAnswer = 1200 * time.Millisecond
)

// Peers fetches from other agents.
type Peers struct{ client *http.Client }

// NewPeers returns a client of other agents.
func NewPeers(client *http.Client) *Peers { return &Peers{client: client} }

// Piece reads a piece, whose digest has not been checked, and which pieces the
// holder has, if it says so.
func (p *Peers) Piece(ctx context.Context, address, model string, version int64, piece int) ([]byte, []uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, peerAnswer)
	defer cancel()
	body, have, err := p.get(ctx, address, piecePath+path(model, version)+"/"+strconv.Itoa(piece))
	if err != nil {
		return nil, have, err
	}
	defer body.Close()
	data, err := bounded.ReadAll(body, MaxPieceBytes)
	return data, have, errs.Wrap(err, "read piece", address)
}

// Manifest reads a manifest.
func (p *Peers) Manifest(ctx context.Context, address, model string, version int64) (Manifest, error) {
	ctx, cancel := context.WithTimeout(ctx, peerAnswer)
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

func (p *Peers) get(ctx context.Context, address, path string) (io.ReadCloser, []uint64, error) {
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

// headerHave lists the pieces that a holder has: hexadecimal words of a bit set.
const headerHave = "Almondreel-Have"

func formatHave(have []uint64) string {
	words := make([]string, 0, len(have))
	for _, w := range have {
		words = append(words, strconv.FormatUint(w, 16))
	}
	return strings.Join(words, ",")
}

// parseHave returns nil for a header that is missing or cannot be read: the
// holder then counts as before.
func parseHave(text string) []uint64 {
	var have []uint64
	for _, word := range strings.Split(text, ",") {
		w, err := strconv.ParseUint(word, 16, 64)
		if err != nil {
			return nil
		}
		have = append(have, w)
	}
	return have
}

// Handler serves pieces and manifests to other agents.
func (a *Agent) Handler() http.Handler {
	places := make(chan struct{}, 1+uploadsWaiting)
	sending := make(chan struct{}, 1)
	pace := newPace(a.LinkMegabits)
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+piecePath+"{model}/{version}/{piece}", func(w http.ResponseWriter, r *http.Request) {
		select {
		case places <- struct{}{}:
			defer func() { <-places }()
		default:
			a.sendAway(w, r)
			return
		}
		select {
		case sending <- struct{}{}:
			defer func() { <-sending }()
			a.servePiece(w, r, pace)
		case <-r.Context().Done():
		}
	})
	mux.HandleFunc("GET "+manifestPath+"{model}/{version}", a.serveManifest)
	return mux
}

const bytesPerMegabit = 1e6 / 8

// newPace bounds what is sent to a share of the link.
func newPace(megabits float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(uploadShare*megabits*bytesPerMegabit), partBytes)
}

// share is the part of the link that pieces may take now.
func (a *Agent) share() float64 {
	if a.serving() {
		return uploadShare
	}
	return idleShare
}

// partBytes are sent at once: answers on the same link wait that long at most,
// 4 ms at 7.6 Mbit/s.
const partBytes = 4 << 10

// send writes data at the pace. An error ends the answer early, which its
// length shows.
func send(ctx context.Context, w http.ResponseWriter, pace *rate.Limiter, data []byte) error {
	for part := range slices.Chunk(data, partBytes) {
		if err := pace.WaitN(ctx, len(part)); err != nil {
			return err
		}
		if _, err := w.Write(part); err != nil {
			return err
		}
		if flusher, ok := w.(http.Flusher); ok {
			flusher.Flush()
		}
	}
	return nil
}

// sendAway tells a neighbour to ask others, and what there is here.
func (a *Agent) sendAway(w http.ResponseWriter, r *http.Request) {
	counter.Add("Refused.UploadsFull", 1)
	version, _ := strconv.ParseInt(r.PathValue("version"), 10, 64)
	if _, have := a.piece(r.PathValue("model"), version, 0); have != nil {
		w.Header().Set(headerHave, formatHave(have))
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (a *Agent) servePiece(w http.ResponseWriter, r *http.Request, pace *rate.Limiter) {
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
	pace.SetLimit(rate.Limit(a.share() * a.LinkMegabits * bytesPerMegabit))
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	if err := send(r.Context(), w, pace, data); err != nil {
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
