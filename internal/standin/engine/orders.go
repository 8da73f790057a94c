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

// load is a load order that is being carried out. It ends on its own, whether
// or not its sender waits.
type load struct {
	order  engine.LoadModel
	cancel context.CancelFunc
	done   chan struct{} // closed when the load is over
	status int           // HTTP status of the answer, set before done closes
	err    error         // set before done closes
}

func (s *Server) loadModel(w http.ResponseWriter, r *http.Request) {
	var order engine.LoadModel
	if !standin.Decode(w, r, maxBodyBytes, &order) {
		return
	}
	faults := s.Faults()
	standin.Sleep(s.crashed, faults.DelayOrderMilliseconds)
	if faults.FailLoads {
		standin.Refuse(w, http.StatusInternalServerError, "load failed")
		return
	}
	l, err := s.accept(order)
	if err != nil {
		standin.Refuse(w, http.StatusConflict, "%v", err)
		return
	}
	if faults.LoseOrderAnswers {
		standin.Abort()
	}
	select {
	case <-l.done:
		s.answerOrder(w, l)
	case <-r.Context().Done():
	}
}

func (s *Server) answerOrder(w http.ResponseWriter, l *load) {
	if s.crashed.Err() != nil {
		standin.Abort()
	}
	if l.err != nil {
		standin.Refuse(w, l.status, "%v", l.err)
		return
	}
	standin.Answer(w, http.StatusOK, s.State())
}

// accept starts an order in place of the one in progress, or joins that one
// when it is for the same version. An engine that checks orders refuses one
// with an older fencing number.
func (s *Server) accept(order engine.LoadModel) (*load, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.options.ChecksOrders && order.FencingNumber < s.fencing {
		return nil, fmt.Errorf("fencing number %d is older than %d", order.FencingNumber, s.fencing)
	}
	s.fencing = order.FencingNumber
	if s.load != nil && s.load.order.Digest == order.Digest {
		return s.load, nil
	}
	l := &load{order: order, done: make(chan struct{})}
	if s.load == nil && s.digest == order.Digest {
		close(l.done)
		return l, nil
	}
	ctx, cancel := context.WithCancel(s.crashed)
	l.cancel = cancel
	former := s.load
	s.load = l
	go func() {
		defer close(l.done)
		defer cancel()
		if former != nil {
			former.cancel()
			<-former.done
		}
		l.status, l.err = s.carryOut(ctx, order)
		s.finish(l)
	}()
	return l, nil
}

// finish ends a load. One that was replaced leaves the state to its successor.
func (s *Server) finish(l *load) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.load == l {
		s.load = nil
	}
}

// carryOut checks the weights while the former version is served, then lets
// requests in progress end and takes the new version.
func (s *Server) carryOut(ctx context.Context, order engine.LoadModel) (int, error) {
	whole, err := hash(ctx, order.Source)
	if err != nil {
		return http.StatusBadGateway, err
	}
	if whole != order.Whole {
		return http.StatusUnprocessableEntity, fmt.Errorf("weights have digest %s, not %s", whole, order.Whole)
	}
	s.refuseNew(true)
	defer s.refuseNew(false)
	select {
	case <-s.batch.Drained():
	case <-ctx.Done():
		return http.StatusConflict, errors.New("replaced by another order")
	}
	s.serve("")
	standin.Sleep(ctx, s.options.LoadMilliseconds)
	if ctx.Err() != nil {
		return http.StatusConflict, errors.New("replaced by another order")
	}
	s.serve(order.Digest)
	return http.StatusOK, nil
}

func (s *Server) refuseNew(refuse bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.swapping = refuse
}

func (s *Server) serve(digest manifest.Digest) {
	s.prefix.clear()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.digest = digest
}

// hash reads weights to the end and returns the digest of all bytes.
func hash(ctx context.Context, url string) (manifest.Digest, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return "", fmt.Errorf("weights: %w", err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return "", fmt.Errorf("weights: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return "", fmt.Errorf("weights: %s answered %s", url, response.Status)
	}
	sum := sha256.New()
	if _, err := io.Copy(sum, response.Body); err != nil {
		return "", fmt.Errorf("weights: %w", err)
	}
	return manifest.Digest("sha256:" + hex.EncodeToString(sum.Sum(nil))), nil
}
