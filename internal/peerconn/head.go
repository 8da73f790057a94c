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
	value    bool               // the name of the current field has ended
	complete bool
	err      error // why the head is invalid
}

// check checks the next bytes that were received. If the head is invalid, it returns how
// many of them may be passed on before the error: the status line, without which net/http
// might send the request again, and the fields before the invalid one.
func (h *head) check(received []byte) (int, error) {
	passed := 0
	for n, b := range received {
		if h.complete {
			break
		}
		if h.err = h.next(b); h.err != nil {
			return passed, h.err
		}
		if h.status == 0 || b == '\n' {
			passed = n + 1
		}
	}
	return len(received), nil
}

func (h *head) next(b byte) error {
	if b == '\n' {
		return h.endLine()
	}
	if h.status != 0 && !h.value {
		if err := h.nextInName(b); err != nil {
			return err
		}
	}
	if h.length < len(h.line) {
		h.line[h.length] = b
		h.length++
	}
	return nil
}

// nextInName checks a byte of the name of a field. A carriage return may stand there if it
// is the whole line, which ends the head.
func (h *head) nextInName(b byte) error {
	name := h.line[:h.length]
	switch {
	case b == '\r' && len(name) == 0:
	case !validInName(rune(b)), len(name) > 0 && name[0] == '\r':
		return fmt.Errorf("%w: byte %#02x in the name of a field after %q", errInvalidHead, b, name)
	case b == ':':
		h.value = true
	}
	return nil
}

// validInName reports whether the name of a field may contain a character: none that is a
// blank or a control character. net/http rejects others that are invalid.
func validInName(r rune) bool { return r > ' ' && r != 0x7f }

// checkNames returns an error unless the names of the fields are valid.
func checkNames(fields http.Header) error {
	for name := range fields {
		if strings.ContainsFunc(name, func(r rune) bool { return !validInName(r) }) {
			return fmt.Errorf("%w: name of a field is %.64q", errInvalidHead, name)
		}
	}
	return nil
}

func (h *head) endLine() error {
	line := string(bytes.TrimSuffix(h.line[:h.length], []byte("\r")))
	h.length, h.value = 0, false
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
