// Package compress gzips documents, such as the configuration and the placement, that
// are stored in the key-value service or sent between processes. It bounds their size
// when they are decompressed.
package compress

import (
	"bytes"
	"compress/gzip"
	"errors"
	"fmt"

	"almondreel.example/almondreel/internal/bounded"
)

// MaxBytes bounds the size of a decompressed document.
const MaxBytes = 4 << 20

// gzipMagic is the prefix of every gzip stream. No JSON text starts with it.
var gzipMagic = []byte{0x1f, 0x8b}

// Gzip returns the compressed text.
func Gzip(text []byte) []byte {
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	_, _ = w.Write(text) // bytes.Buffer never fails
	_ = w.Close()
	return out.Bytes()
}

// GunzipIfCompressed decompresses data if it is a gzip stream, else returns it as is.
func GunzipIfCompressed(data []byte) ([]byte, error) {
	if !bytes.HasPrefix(data, gzipMagic) {
		return data, nil
	}
	return Gunzip(data)
}

// Gunzip decompresses data; empty data gives empty text. It returns an error if data is
// no gzip stream, is truncated, or decompresses to more than MaxBytes.
func Gunzip(data []byte) ([]byte, error) {
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
