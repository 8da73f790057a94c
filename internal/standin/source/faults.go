package source

import (
	"fmt"
	"net/http"
)

const tooLongBytes = 512 // extra bytes of a response under TooLongOneIn

// responseFaults are the faults of one response.
type responseFaults struct {
	corrupt, cutShort, tooLong, changeBytes bool
}

// nextFaults counts one response with weights and returns its faults.
func (s *Server) nextFaults() responseFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.responses++
	return responseFaults{
		corrupt:     s.oneIn(s.faults.CorruptOneIn),
		cutShort:    s.oneIn(s.faults.CutShortOneIn),
		tooLong:     s.oneIn(s.faults.TooLongOneIn),
		changeBytes: s.faults.ChangeBytes,
	}
}

func (s *Server) oneIn(n int) bool {
	return n > 0 && s.responses%n == 0
}

// resizeRange rewrites the request's Range header, and the version's length, so that
// the response is too short or too long.
func (f responseFaults) resizeRange(r *http.Request, v *Version) {
	first, last := int64(0), v.Bytes-1
	_, err := fmt.Sscanf(r.Header.Get("Range"), "bytes=%d-%d", &first, &last)
	if err != nil || last >= v.Bytes {
		last = v.Bytes - 1
	}
	if f.cutShort {
		last = first + (last-first)/2
	}
	if f.tooLong {
		last += tooLongBytes
		v.Bytes += tooLongBytes
	}
	r.Header.Set("Range", fmt.Sprintf("bytes=%d-%d", first, last))
}

// faultyWriter limits the rate of a response, counts the bytes sent and applies faults.
type faultyWriter struct {
	http.ResponseWriter
	request *http.Request
	server  *Server
	key     versionKey
	sent    int64
	corrupt bool // the next write changes one byte
}

// Write sends data in parts no larger than the rate limiter's burst.
func (w *faultyWriter) Write(data []byte) (int, error) {
	if w.corrupt && len(data) > 0 {
		data = append([]byte(nil), data...)
		data[len(data)/2] ^= 0xff
		w.corrupt = false
	}
	sent := 0
	for sent < len(data) {
		step, err := w.allowedBytes(min(len(data)-sent, rateBurstBytes))
		if err != nil {
			return sent, err
		}
		n, err := w.send(data[sent : sent+step])
		sent += n
		if err != nil {
			return sent, err
		}
	}
	return sent, nil
}

// send counts bytes before it writes them, so that a reader never has bytes that are
// not yet counted. It then subtracts the bytes that were not written.
func (w *faultyWriter) send(part []byte) (int, error) {
	ctx := w.request.Context()
	if err := w.server.limiter.WaitN(ctx, len(part)); err != nil {
		return 0, err
	}
	w.server.countSent(w.key, int64(len(part)))
	n, err := w.ResponseWriter.Write(part)
	w.sent += int64(n)
	w.server.countSent(w.key, int64(n-len(part)))
	return n, err
}

// allowedBytes returns how many of the next bytes may be sent now. When the response
// has reached StallAfterBytes, it waits until the faults change.
func (w *faultyWriter) allowedBytes(next int) (int, error) {
	for {
		w.server.mu.Lock()
		limit, faultsChanged := w.server.faults.StallAfterBytes, w.server.faultsChanged
		w.server.mu.Unlock()
		if limit <= 0 || w.sent+int64(next) <= limit {
			return next, nil
		}
		if w.sent < limit {
			return int(limit - w.sent), nil
		}
		if flusher, ok := w.ResponseWriter.(http.Flusher); ok {
			flusher.Flush()
		}
		select {
		case <-faultsChanged:
		case <-w.request.Context().Done():
			return 0, w.request.Context().Err()
		}
	}
}

func (s *Server) countSent(key versionKey, bytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent[key] += bytes
}
