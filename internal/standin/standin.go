// Package standin holds what the platform's stand-ins share: fault switches,
// JSON over HTTP and listening.
//
// A stand-in takes the place of one of the platform's services in tests and in
// the demo. Each is an http.Handler, and takes PUT /faults with a JSON object of
// switches and GET /faults to read them.
package standin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/oklog/run"
)

// FaultsPath takes PUT and GET of a stand-in's fault switches.
const FaultsPath = "/faults"

const (
	readHeaderTimeout = 10 * time.Second
	shutdownTimeout   = 2 * time.Second
)

// failure is the body of an answer other than 2xx.
type failure struct {
	Error string `json:"error"`
}

// Answer writes value as JSON with status.
func Answer(w http.ResponseWriter, status int, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

// Refuse writes an error as JSON with status.
func Refuse(w http.ResponseWriter, status int, format string, args ...any) {
	Answer(w, status, failure{Error: fmt.Sprintf(format, args...)})
}

// Decode reads the request's JSON body of at most maxBytes into target. It
// answers 400 or 413 and returns false when that fails.
func Decode(w http.ResponseWriter, r *http.Request, maxBytes int64, target any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBytes)).Decode(target)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		Refuse(w, http.StatusRequestEntityTooLarge, "body exceeds %d bytes", maxBytes)
		return false
	}
	if err != nil {
		Refuse(w, http.StatusBadRequest, "decode body: %v", err)
		return false
	}
	return true
}

// DecodeStrict is json.Unmarshal that refuses unknown keys.
func DecodeStrict(r io.Reader, target any) error {
	decoder := json.NewDecoder(r)
	decoder.DisallowUnknownFields()
	return decoder.Decode(target)
}

// HandleFaults serves FaultsPath on mux. read returns the switches; write
// decodes new ones and replaces all of them.
func HandleFaults(mux *http.ServeMux, read func() any, write func(body io.Reader) error) {
	mux.HandleFunc("GET "+FaultsPath, func(w http.ResponseWriter, _ *http.Request) {
		Answer(w, http.StatusOK, read())
	})
	mux.HandleFunc("PUT "+FaultsPath, func(w http.ResponseWriter, r *http.Request) {
		if err := write(r.Body); err != nil {
			Refuse(w, http.StatusBadRequest, "decode faults: %v", err)
			return
		}
		Answer(w, http.StatusOK, read())
	})
}

// Abort closes the request's connection without an answer. It does not return.
func Abort() {
	panic(http.ErrAbortHandler)
}

// Sleep waits for the given milliseconds or until ctx ends.
func Sleep(ctx context.Context, milliseconds int) {
	if milliseconds <= 0 {
		return
	}
	timer := time.NewTimer(time.Duration(milliseconds) * time.Millisecond)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Listen listens on address (IP:port) and prints "NAME listening on ADDRESS".
func Listen(name, address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	fmt.Printf("%s listening on %s\n", name, listener.Addr())
	return listener, nil
}

// Serve serves handler on address until SIGINT or SIGTERM.
func Serve(name, address string, handler http.Handler) error {
	ctx, release := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer release()
	listener, err := Listen(name, address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	ctx, cancel := context.WithCancel(ctx)
	var group run.Group
	group.Add(
		func() error {
			<-ctx.Done()
			return nil
		},
		func(error) { cancel() })
	group.Add(
		func() error { return server.Serve(listener) },
		func(error) { stop(server) })
	if err := group.Run(); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}

func stop(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if server.Shutdown(ctx) != nil {
		_ = server.Close()
	}
}
