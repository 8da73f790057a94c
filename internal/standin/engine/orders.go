package engine

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net/http"

	"almondreel.example/almondreel/internal/engine"
	"almondreel.example/almondreel/internal/manifest"
	"almondreel.example/almondreel/internal/standin"
)

// modelLoad is a load order in progress. It continues if its sender disconnects.
type modelLoad struct {
	order  engine.LoadModel
	cancel context.CancelFunc
	done   chan struct{} // closed when the load has ended
	status int           // HTTP status of the response; set before done is closed
	err    error         // set before done is closed
}

func (s *Server) loadModel(w http.ResponseWriter, r *http.Request) {
	var order engine.LoadModel
	if !standin.Decode(w, r, maxBodyBytes, &order) {
		return
	}
	faults := s.Faults()
	standin.Sleep(s.crashed, faults.DelayOrderMilliseconds)
	if faults.FailLoads {
		standin.WriteError(w, http.StatusInternalServerError, "load failed: fault FailLoads is set")
		return
	}
	l, err := s.startLoad(order)
	if err != nil {
		standin.WriteError(w, http.StatusConflict, "%v", err)
		return
	}
	if faults.LoseOrderAnswers {
		standin.Abort()
	}
	select {
	case <-l.done:
		s.writeLoadResult(w, l)
	case <-r.Context().Done():
	}
}

func (s *Server) writeLoadResult(w http.ResponseWriter, l *modelLoad) {
	if s.crashed.Err() != nil {
		standin.Abort()
	}
	if l.err != nil {
		standin.WriteError(w, l.status, "%v", l.err)
		return
	}
	standin.WriteJSON(w, http.StatusOK, s.State())
}

// startLoad starts a load order, cancelling the one in progress, or returns that one
// if it is for the same version. With Options.ChecksOrders it refuses an order whose
// fencing number is lower than the last one accepted.
func (s *Server) startLoad(order engine.LoadModel) (*modelLoad, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.options.ChecksOrders && order.FencingNumber < s.fencingNumber {
		return nil, fmt.Errorf("fencing number %d is lower than the last accepted %d", order.FencingNumber, s.fencingNumber)
	}
	s.fencingNumber = order.FencingNumber
	if s.load != nil && s.load.order.Digest == order.Digest {
		return s.load, nil
	}
	l := &modelLoad{order: order, done: make(chan struct{})}
	if s.load == nil && s.digest == order.Digest {
		close(l.done)
		return l, nil
	}
	ctx, cancel := context.WithCancel(s.crashed)
	l.cancel = cancel
	previous := s.load
	s.load = l
	go func() {
		defer close(l.done)
		defer cancel()
		if previous != nil {
			previous.cancel()
			<-previous.done
		}
		l.status, l.err = s.runLoad(ctx, order)
		s.clearLoad(l)
	}()
	return l, nil
}

// clearLoad removes l as the load in progress unless a later order has replaced it.
func (s *Server) clearLoad(l *modelLoad) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.load == l {
		s.load = nil
	}
}

// runLoad verifies the weights while the previous version is served, then refuses new
// requests, drains those in progress and serves the new version. It returns the HTTP
// status of the response.
func (s *Server) runLoad(ctx context.Context, order engine.LoadModel) (int, error) {
	digest, err := hashWeights(ctx, order.Source)
	if err != nil {
		return http.StatusBadGateway, err
	}
	if digest != order.Whole {
		return http.StatusUnprocessableEntity, fmt.Errorf("weights have digest %s, want %s", digest, order.Whole)
	}
	s.setSwapping(true)
	defer s.setSwapping(false)
	select {
	case <-s.queue.Drained():
	case <-ctx.Done():
		return http.StatusConflict, errors.New("load order replaced by a later one")
	}
	s.setServed("")
	standin.Sleep(ctx, s.options.LoadMilliseconds)
	if ctx.Err() != nil {
		return http.StatusConflict, errors.New("load order replaced by a later one")
	}
	s.setServed(order.Digest)
	return http.StatusOK, nil
}

func (s *Server) setSwapping(swapping bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.swapping = swapping
}

func (s *Server) setServed(digest manifest.Digest) {
	s.prefixes.clear()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.digest = digest
}

// hashWeights downloads the weights at url and returns the digest of all bytes.
func hashWeights(ctx context.Context, url string) (manifest.Digest, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return "", fmt.Errorf("read weights: %w", err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return "", fmt.Errorf("read weights: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return "", fmt.Errorf("read weights: %s returned %s", url, response.Status)
	}
	sum := sha256.New()
	if _, err := io.Copy(sum, response.Body); err != nil {
		return "", fmt.Errorf("read weights: %w", err)
	}
	return manifest.Digest("sha256:" + hex.EncodeToString(sum.Sum(nil))), nil
}
