package proxy

import (
	"errors"
	"io"
	"mime"
	"net/http"
	"strconv"
	"strings"

	"almondreel.example/almondreel/internal/eventstream"
)

// Errors of responses that must not be sent to the caller.
var (
	errBegun       = errors.New("response to the caller has begun")
	errNotContinue = errors.New("response does not continue the caller's stream")
	errGap         = errors.New("event does not follow the last one of the stream")
)

// responseState is the progress of the response to a caller.
type responseState int

const (
	nothingWritten responseState = iota
	partlyWritten
	whollyWritten
)

// callerResponse is the response to a caller: either one whole response or a stream of
// events. Once it has begun, it accepts nothing but further events of its stream, and
// only endStream completes the stream.
type callerResponse struct {
	w           http.ResponseWriter
	codec       HeaderCodec
	state       responseState
	contentType string // of a stream that has begun
	lastEventID string // ID of the last event written
}

// begun reports whether the caller may have received part of the response.
func (c *callerResponse) begun() bool { return c.state != nothingWritten }

// resumable reports whether another server may continue the response.
func (c *callerResponse) resumable() bool {
	return c.state == nothingWritten || c.state == partlyWritten && c.lastEventID != ""
}

// writeWhole writes a backend server's response that has been read to its end.
func (c *callerResponse) writeWhole(b *bufferedResponse) error {
	if c.begun() {
		return errBegun
	}
	c.codec.CopyResponseHeader(c.w.Header(), b.header, b.signed)
	return c.write(b.status, b.body)
}

// writeOwn writes a response of the gateway itself.
func (c *callerResponse) writeOwn(status int, header http.Header, text string) error {
	if c.begun() {
		return errBegun
	}
	for name, values := range header {
		c.w.Header()[name] = values
	}
	c.w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	return c.write(status, strings.NewReader(text))
}

func (c *callerResponse) write(status int, body io.WriterTo) error {
	c.state = partlyWritten
	c.w.WriteHeader(status)
	if _, err := body.WriteTo(c.w); err != nil {
		return err
	}
	c.state = whollyWritten
	return nil
}

// position is how much of a stream the caller has received.
type position struct {
	begun       bool
	contentType string // of a stream that has begun
	lastEventID string // ID of the last event written
}

func (c *callerResponse) position() position {
	return position{c.begun(), c.contentType, c.lastEventID}
}

// checkStream returns an error unless events of a backend server's response may be
// written from p on. A response that continues a stream has the status of a stream and the
// type of the one that began it, if that has a type.
func (p position) checkStream(response *http.Response) error {
	if !p.begun {
		return nil
	}
	if response.StatusCode != http.StatusOK || p.contentType != "" && mediaType(response.Header) != p.contentType {
		return errNotContinue
	}
	return nil
}

// mediaType returns the media type in the Content-Type header, without parameters.
func mediaType(h http.Header) string {
	value := h.Get("Content-Type")
	if name, _, err := mime.ParseMediaType(value); err == nil {
		return name
	}
	return value
}

// checkEvent returns errGap if an event may not follow the last one that was written.
// If event IDs are numbers, they must increase, and the first event of a resumed
// stream must have the next number.
func (p position) checkEvent(event eventstream.Event, resumed bool) error {
	if p.lastEventID == "" {
		return nil
	}
	last, err := strconv.ParseInt(p.lastEventID, 10, 64)
	if err != nil {
		return nil // events are not numbered
	}
	next, err := strconv.ParseInt(event.ID, 10, 64)
	if err != nil || next <= last || resumed && next != last+1 {
		return errGap
	}
	return nil
}

// writeEvent writes one event of a backend server's response, preceded by the headers
// if the caller's response has not begun. The event and the response have been checked.
func (c *callerResponse) writeEvent(response *http.Response, event eventstream.Event) error {
	c.beginStream(response)
	if _, err := c.w.Write(event.Bytes); err != nil {
		return err
	}
	if event.ID != "" {
		c.lastEventID = event.ID
	}
	if flusher, ok := c.w.(http.Flusher); ok {
		flusher.Flush()
	}
	return nil
}

// endStream writes the comments after the last event and completes the stream.
func (c *callerResponse) endStream(response *http.Response, comments []byte) error {
	c.beginStream(response)
	if _, err := c.w.Write(comments); err != nil {
		return err
	}
	c.state = whollyWritten
	return nil
}

func (c *callerResponse) beginStream(response *http.Response) {
	if c.begun() {
		return
	}
	c.state = partlyWritten
	c.contentType = mediaType(response.Header)
	c.codec.CopyResponseHeader(c.w.Header(), response.Header, true)
	c.w.WriteHeader(response.StatusCode)
}

// close ends the response. It closes the connection unless the response is whole, so
// that no other looks complete.
func (c *callerResponse) close() {
	if c.state != whollyWritten {
		panic(http.ErrAbortHandler)
	}
}
