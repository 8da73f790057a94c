package reel

import (
	"context"
	"encoding/gob"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"golang.org/x/time/rate"

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
	data, err := io.ReadAll(io.LimitReader(body, MaxPieceBytes))
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
	if err := gob.NewDecoder(io.LimitReader(body, MaxPieceBytes)).Decode(&m); err != nil {
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
	place := make(chan struct{}, 1)
	pace := newPace(a.LinkMegabits)
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+piecePath+"{model}/{version}/{piece}", func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), uploadPatience)
		defer cancel()
		select {
		case place <- struct{}{}:
			defer func() { <-place }()
			a.servePiece(ctx, w, r, pace)
		case <-ctx.Done():
			counter.Add("Refused.UploadsFull", 1)
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("GET "+manifestPath+"{model}/{version}", a.serveManifest)
	return mux
}

const bytesPerMegabit = 1e6 / 8

// newPace bounds what is sent to a share of the link, a piece at a time.
func newPace(megabits float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(uploadShare*megabits*bytesPerMegabit), paceBurst)
}

// paceBurst in bytes may be sent at once: about a piece.
const paceBurst = 32 << 10

// waitPace waits until n bytes may be sent.
func waitPace(ctx context.Context, pace *rate.Limiter, n int) error {
	for n > 0 {
		part := min(n, paceBurst)
		if err := pace.WaitN(ctx, part); err != nil {
			return err
		}
		n -= part
	}
	return nil
}

func (a *Agent) servePiece(ctx context.Context, w http.ResponseWriter, r *http.Request, pace *rate.Limiter) {
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
	if err := waitPace(ctx, pace, len(data)); err != nil {
		counter.Add("Refused.UploadsFull", 1)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	_, _ = w.Write(data)
	counter.Add("SentPieceBytes", int64(len(data)))
}

func (a *Agent) serveManifest(w http.ResponseWriter, r *http.Request) {
	version, _ := strconv.ParseInt(r.PathValue("version"), 10, 64)
	m, ok := a.manifestOf(r.PathValue("model"), version)
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_ = gob.NewEncoder(w).Encode(m)
}
