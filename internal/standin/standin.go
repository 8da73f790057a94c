// Package standin holds what all stand-ins share: fault injection over HTTP,
// JSON requests and responses, and listening.
//
// A stand-in is a small fake of a platform service or of a backend server, for
// tests and the demo. Each is an http.Handler. GET /faults returns its fault
// settings as a JSON object and PUT /faults replaces them.
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

// FaultsPath is the path at which a stand-in's fault settings are read and replaced.
const FaultsPath = "/faults"

const (
	readHeaderTimeout = 10 * time.Second
	shutdownTimeout   = 2 * time.Second
)

// errorResponse is the body of a response with a status other than 2xx.
type errorResponse struct {
	Error string `json:"error"`
}

// WriteJSON sends a response with the given status and value as its JSON body.
// It panics if value cannot be encoded.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// WriteError sends a response with the given status and the formatted error text
// as its JSON body.
func WriteError(w http.ResponseWriter, status int, format string, args ...any) {
	WriteJSON(w, status, errorResponse{Error: fmt.Sprintf(format, args...)})
}

// Decode reads the request's JSON body of at most maxBytes bytes into target. On
// failure it responds with 400, or 413 if the body is too large, and returns false.
func Decode(w http.ResponseWriter, r *http.Request, maxBytes int64, target any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBytes)).Decode(target)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		WriteError(w, http.StatusRequestEntityTooLarge, "request body exceeds %d bytes", maxBytes)
		return false
	}
	if err != nil {
		WriteError(w, http.StatusBadRequest, "decode request body: %v", err)
		return false
	}
	return true
}

// DecodeStrict decodes one JSON value into target and returns an error for unknown keys.
func DecodeStrict(r io.Reader, target any) error {
	decoder := json.NewDecoder(r)
	decoder.DisallowUnknownFields()
	return decoder.Decode(target)
}

// HandleFaults registers the handlers of FaultsPath on mux. read returns the fault
// settings; write decodes new settings and replaces all of them.
func HandleFaults(mux *http.ServeMux, read func() any, write func(body io.Reader) error) {
	mux.HandleFunc("GET "+FaultsPath, func(w http.ResponseWriter, _ *http.Request) {
		WriteJSON(w, http.StatusOK, read())
	})
	mux.HandleFunc("PUT "+FaultsPath, func(w http.ResponseWriter, r *http.Request) {
		if err := write(r.Body); err != nil {
			WriteError(w, http.StatusBadRequest, "decode faults: %v", err)
			return
		}
		WriteJSON(w, http.StatusOK, read())
	})
}

// Abort closes the request's connection without completing a response. It panics
// with http.ErrAbortHandler and does not return.
func Abort() {
	panic(http.ErrAbortHandler)
}

// Sleep waits for the given number of milliseconds or until ctx is done.
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

// Listen listens on address (IP:port) and prints "NAME listening on ADDRESS" to
// standard output.
func Listen(name, address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	fmt.Printf("%s listening on %s\n", name, listener.Addr())
	return listener, nil
}

// Serve serves handler on address (IP:port) until SIGINT or SIGTERM. Errors carry name.
func Serve(name, address string, handler http.Handler) error {
	ctx, stopSignals := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stopSignals()
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
		func(error) { shutDown(server) })
	if err := group.Run(); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}

func shutDown(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if server.Shutdown(ctx) != nil {
		_ = server.Close()
	}
}
