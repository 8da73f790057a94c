package callerconn

import (
	"io"
	"net/http"
	"time"

	"almondreel.example/almondreel/internal/counter"
)

// DiscardBody reads the body of a request that is refused unread. net/http closes the
// connection soon after the response if much of the body has not been read, and a caller
// that is still sending then gets a reset connection in place of the response. Bodies are
// read up to maxBytes and until deadline. A caller that waits to be told to send its body
// need not send it.
func DiscardBody(w http.ResponseWriter, r *http.Request, maxBytes int64, deadline time.Time) {
	if r.Body == http.NoBody || r.Header.Get("Expect") != "" {
		return
	}
	err := http.NewResponseController(w).SetReadDeadline(deadline)
	if err == nil {
		_, err = io.Copy(io.Discard, io.LimitReader(r.Body, maxBytes))
	}
	if err != nil {
		counter.Add("BodiesNotDiscarded", 1) // the caller may not get the response
	}
}
