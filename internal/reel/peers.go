package reel

import (
	"context"
	"encoding/gob"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

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

// Piece reads a piece; its digest has not been checked.
func (p *Peers) Piece(ctx context.Context, address, model string, version int64, piece int) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, peerAnswer)
	defer cancel()
	body, err := p.get(ctx, address, piecePath+path(model, version)+"/"+strconv.Itoa(piece))
	if err != nil {
		return nil, err
	}
	defer body.Close()
	data, err := io.ReadAll(io.LimitReader(body, MaxPieceBytes))
	return data, errs.Wrap(err, "read piece", address)
}

// Manifest reads a manifest.
func (p *Peers) Manifest(ctx context.Context, address, model string, version int64) (Manifest, error) {
	ctx, cancel := context.WithTimeout(ctx, peerAnswer)
	defer cancel()
	body, err := p.get(ctx, address, manifestPath+path(model, version))
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

func (p *Peers) get(ctx context.Context, address, path string) (io.ReadCloser, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return nil, errs.Wrap(err, "build request", address)
	}
	response, err := p.client.Do(request)
	if err != nil {
		return nil, errs.Wrap(err, "fetch", address)
	}
	if response.StatusCode != http.StatusOK {
		_ = response.Body.Close()
		return nil, errs.New("fetch", address, "status %d", response.StatusCode)
	}
	return response.Body, nil
}

// Handler serves pieces and manifests to other agents.
func (a *Agent) Handler() http.Handler {
	places := make(chan struct{}, uploads)
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+piecePath+"{model}/{version}/{piece}", func(w http.ResponseWriter, r *http.Request) {
		select {
		case places <- struct{}{}:
			defer func() { <-places }()
			a.servePiece(w, r)
		default:
			counter.Add("Refused.UploadsFull", 1)
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("GET "+manifestPath+"{model}/{version}", a.serveManifest)
	return mux
}

func (a *Agent) servePiece(w http.ResponseWriter, r *http.Request) {
	version, _ := strconv.ParseInt(r.PathValue("version"), 10, 64)
	n, err := strconv.Atoi(r.PathValue("piece"))
	data, ok := a.piece(r.PathValue("model"), version, n)
	if err != nil || !ok {
		w.WriteHeader(http.StatusNotFound)
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
