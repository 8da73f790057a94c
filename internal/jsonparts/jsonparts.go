// Package jsonparts splits a JSON document into its parts without decoding them, so that
// a caller can decode each on its own. encoding/json rejects a whole document for one part
// that is nested too deeply.
package jsonparts

import (
	"bytes"
	"encoding/json"
	"errors"
)

// ErrSyntax reports that a document is no object or array, or cannot be split.
var ErrSyntax = errors.New("JSON document cannot be split into its parts")

// Members returns the encoded members of an object by name; of members with the same name
// the last one. Members that encoding/json may reject are included.
func Members(text []byte) (map[string][]byte, error) {
	out := map[string][]byte{}
	err := split(text, '{', '}', func(part []byte) ([]byte, error) {
		key, rest, ok := cutValue(part)
		var name string
		if !ok || json.Unmarshal(key, &name) != nil {
			return nil, ErrSyntax
		}
		rest = trimSpace(rest)
		if len(rest) == 0 || rest[0] != ':' {
			return nil, ErrSyntax
		}
		value, rest, ok := cutValue(rest[1:])
		if !ok {
			return nil, ErrSyntax
		}
		out[name] = value
		return rest, nil
	})
	return out, err
}

// Elements returns the encoded elements of an array, or none if text is null or empty.
// Elements that encoding/json may reject are included.
func Elements(text []byte) ([][]byte, error) {
	if text = trimSpace(text); len(text) == 0 || bytes.Equal(text, []byte("null")) {
		return nil, nil
	}
	var out [][]byte
	err := split(text, '[', ']', func(part []byte) ([]byte, error) {
		value, rest, ok := cutValue(part)
		if !ok {
			return nil, ErrSyntax
		}
		out = append(out, value)
		return rest, nil
	})
	return out, err
}

// split calls cut for the text at each part of an object or array. cut returns the text
// after that part.
func split(text []byte, opening, closing byte, cut func([]byte) ([]byte, error)) error {
	text = trimSpace(text)
	if len(text) == 0 || text[0] != opening {
		return ErrSyntax
	}
	text = trimSpace(text[1:])
	if len(text) > 0 && text[0] == closing {
		return endOf(text[1:])
	}
	for {
		rest, err := cut(text)
		if err != nil {
			return err
		}
		rest = trimSpace(rest)
		switch {
		case len(rest) > 0 && rest[0] == closing:
			return endOf(rest[1:])
		case len(rest) == 0 || rest[0] != ',':
			return ErrSyntax
		}
		text = rest[1:]
	}
}

func endOf(rest []byte) error {
	if len(trimSpace(rest)) > 0 {
		return ErrSyntax
	}
	return nil
}

func trimSpace(text []byte) []byte { return bytes.TrimLeft(text, " \t\r\n") }

// cutValue cuts the first value off text. It counts brackets of both kinds alike and
// checks nothing else within the value.
func cutValue(text []byte) (value, rest []byte, ok bool) {
	text = trimSpace(text)
	depth := 0
	for i := 0; i < len(text); i++ {
		switch text[i] {
		case '"':
			end := stringEnd(text[i:])
			if end == 0 {
				return nil, nil, false
			}
			i += end - 1
			if depth == 0 {
				return text[:i+1], text[i+1:], true
			}
		case '{', '[':
			depth++
		case '}', ']':
			if depth--; depth == 0 {
				return text[:i+1], text[i+1:], true
			}
		}
		if depth < 0 || depth == 0 && (i+1 == len(text) || bytes.IndexByte([]byte(",:]} \t\r\n"), text[i+1]) >= 0) {
			return text[:i+1], text[i+1:], depth == 0
		}
	}
	return nil, nil, false
}

// stringEnd returns the length of the string at the start of text, 0 if it has no end.
func stringEnd(text []byte) int {
	for i := 1; i < len(text); i++ {
		switch text[i] {
		case '\\':
			i++
		case '"':
			return i + 1
		}
	}
	return 0
}
