package peerconn

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
)

// errInvalidHead reports a response whose head must not be used.
var errInvalidHead = errors.New("invalid response head")

// maxLineBytes bounds what is kept of a line. A status and its version fit.
const maxLineBytes = 64

// head checks the head of a response, and the informational ones before it, byte by byte.
type head struct {
	line     [maxLineBytes]byte // start of the current line
	length   int                // of line
	status   int                // 0 before the end of the status line
	complete bool
	err      error // why the head is invalid
}

// check checks the next bytes that were received. If the head is invalid, it returns the
// number of bytes before that place. They lack the end of the head.
func (h *head) check(received []byte) (int, error) {
	for n, b := range received {
		if h.complete {
			break
		}
		if h.err = h.next(b); h.err != nil {
			return n, h.err
		}
	}
	return len(received), nil
}

func (h *head) next(b byte) error {
	if b == '\n' {
		return h.endLine()
	}
	if h.length < len(h.line) {
		h.line[h.length] = b
		h.length++
	}
	return nil
}

func (h *head) endLine() error {
	line := string(bytes.TrimSuffix(h.line[:h.length], []byte("\r")))
	h.length = 0
	switch {
	case h.status == 0:
		var err error
		h.status, err = parseStatus(line)
		return err
	case line == "":
		h.complete = IsFinalStatus(h.status)
		h.status = 0
	}
	return nil
}

// parseStatus returns the status in a status line, which net/http splits alike.
func parseStatus(line string) (int, error) {
	_, rest, _ := strings.Cut(line, " ")
	text, _, _ := strings.Cut(strings.TrimLeft(rest, " "), " ")
	status, err := strconv.Atoi(text)
	if err != nil || !IsFinalStatus(status) && !isInformational(status) {
		return 0, fmt.Errorf("%w: status line %q", errInvalidHead, line)
	}
	return status, nil
}

// IsFinalStatus reports whether a status is one of a final response. Status 101 is none:
// no request asks for another protocol.
func IsFinalStatus(status int) bool { return status >= 200 && status <= 599 }

// isInformational reports whether a final response follows one with this status.
func isInformational(status int) bool {
	return status >= 100 && status <= 199 && status != http.StatusSwitchingProtocols
}
