package callerconn

import (
	"net/http"
	"time"
)

// WithoutBodies returns a handler that refuses requests with a body, unread, and passes
// others to h. A caller that has not read the response after timeout is disconnected, unless
// h sets a later deadline.
func WithoutBodies(h http.Handler, timeout time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		controller := http.NewResponseController(w)
		now := time.Now()
		_ = controller.SetWriteDeadline(now.Add(timeout)) // fails only once the connection is closed
		if r.Body == http.NoBody {
			h.ServeHTTP(w, r)
			return
		}
		_ = controller.SetReadDeadline(now) // net/http would read the body
		w.Header().Set("Connection", "close")
		http.Error(w, "no body expected", http.StatusBadRequest)
	})
}
