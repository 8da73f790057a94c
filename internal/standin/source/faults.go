package source

import (
	"fmt"
	"net/http"
)

const extraBytes = 512 // of an answer that is too long

// fault is what goes wrong with one answer.
type fault struct {
	corrupt, cutShort, tooLong, change bool
}

// nextFault counts an answer of weights and returns its faults.
func (s *Server) nextFault() fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answers++
	return fault{
		corrupt:  s.oneIn(s.faults.CorruptOneIn),
		cutShort: s.oneIn(s.faults.CutShortOneIn),
		tooLong:  s.oneIn(s.faults.TooLongOneIn),
		change:   s.faults.ChangeBytes,
	}
}

func (s *Server) oneIn(n int) bool {
	return n > 0 && s.answers%n == 0
}

// resize changes the length that the request asks for.
func (f fault) resize(r *http.Request, v *Version) {
	first, last := int64(0), v.Bytes-1
	_, err := fmt.Sscanf(r.Header.Get("Range"), "bytes=%d-%d", &first, &last)
	if err != nil || last >= v.Bytes {
		last = v.Bytes - 1
	}
	if f.cutShort {
		last = first + (last-first)/2
	}
	if f.tooLong {
		last += extraBytes
		v.Bytes += extraBytes
	}
	r.Header.Set("Range", fmt.Sprintf("bytes=%d-%d", first, last))
}

// shaped sends at the source's rate, counts what it sent, and applies faults.
type shaped struct {
	http.ResponseWriter
	request *http.Request
	server  *Server
	name    name
	sent    int64
	corrupt bool // one byte is yet to be changed
}

// Write sends data in steps of at most the rate's burst.
func (s *shaped) Write(data []byte) (int, error) {
	if s.corrupt && len(data) > 0 {
		data = append([]byte(nil), data...)
		data[len(data)/2] ^= 0xff
		s.corrupt = false
	}
	done := 0
	for done < len(data) {
		step, err := s.step(min(len(data)-done, rateBurstBytes))
		if err != nil {
			return done, err
		}
		n, err := s.send(data[done : done+step])
		done += n
		if err != nil {
			return done, err
		}
	}
	return done, nil
}

// send counts bytes before it writes them, so that nobody has read bytes that
// are not counted, and takes back what was not written.
func (s *shaped) send(part []byte) (int, error) {
	ctx := s.request.Context()
	if err := s.server.limiter.WaitN(ctx, len(part)); err != nil {
		return 0, err
	}
	s.server.countSent(s.name, int64(len(part)))
	n, err := s.ResponseWriter.Write(part)
	s.sent += int64(n)
	s.server.countSent(s.name, int64(n-len(part)))
	return n, err
}

// step returns how many of the next bytes may be sent now. At the stalling
// point it waits until the faults change.
func (s *shaped) step(next int) (int, error) {
	for {
		s.server.mu.Lock()
		limit, cleared := s.server.faults.StallAfterBytes, s.server.cleared
		s.server.mu.Unlock()
		if limit <= 0 || s.sent+int64(next) <= limit {
			return next, nil
		}
		if s.sent < limit {
			return int(limit - s.sent), nil
		}
		if flusher, ok := s.ResponseWriter.(http.Flusher); ok {
			flusher.Flush()
		}
		select {
		case <-cleared:
		case <-s.request.Context().Done():
			return 0, s.request.Context().Err()
		}
	}
}

func (s *Server) countSent(n name, bytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent[n] += bytes
}
