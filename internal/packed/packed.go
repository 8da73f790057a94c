// Package packed compresses the documents that daemons keep and send.
package packed

import (
	"bytes"
	"compress/gzip"
	"errors"
	"fmt"

	"almondreel.example/almondreel/internal/bounded"
)

// MaxBytes bounds a document after decompression.
const MaxBytes = 4 << 20

// gzipMark begins every gzip stream; no JSON text begins with it.
var gzipMark = []byte{0x1f, 0x8b}

// Pack returns text compressed.
func Pack(text []byte) []byte {
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	_, _ = w.Write(text) // a buffer takes everything
	_ = w.Close()
	return out.Bytes()
}

// Text returns the text in data, compressed or plain.
func Text(data []byte) ([]byte, error) {
	if !bytes.HasPrefix(data, gzipMark) {
		return data, nil
	}
	return Unpack(data)
}

// Unpack returns the text that was packed into data; no data holds no text.
func Unpack(data []byte) ([]byte, error) {
	if len(data) == 0 {
		return nil, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, fmt.Errorf("decompress document: %w", err)
	}
	text, err := bounded.ReadAll(r, MaxBytes)
	if errors.Is(err, bounded.ErrTooLong) {
		return nil, fmt.Errorf("decompress document: more than %d bytes", MaxBytes)
	}
	if err != nil {
		return nil, fmt.Errorf("decompress document: %w", err)
	}
	return text, nil
}
