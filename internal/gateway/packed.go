package gateway

import (
	"bytes"
	"compress/gzip"
	"encoding/binary"
	"io"

	"almondreel.example/almondreel/internal/errs"
)

// maxDocumentBytes bounds a document that a peer sends.
const maxDocumentBytes = 4 << 20

// WithPacked returns v with its compressed form made, so that it is made once
// for all peers that v is sent to.
func (v Versioned) WithPacked() Versioned {
	if len(v.packed) == 0 && len(v.Value) > 0 {
		v.packed = pack(v.Value)
	}
	return v
}

// GobEncode sends the revision and the compressed value: a placement names
// every instance once a class, which compresses well.
func (v Versioned) GobEncode() ([]byte, error) {
	return append(binary.AppendUvarint(nil, v.Revision), v.WithPacked().packed...), nil
}

// GobDecode keeps the compressed form, to pass it on as it came.
func (v *Versioned) GobDecode(text []byte) error {
	revision, n := binary.Uvarint(text)
	if n <= 0 {
		return errs.New("decode document", "", "%d bytes without a revision", len(text))
	}
	packed := bytes.Clone(text[n:])
	value, err := unpack(packed)
	if err != nil {
		return errs.Wrap(err, "decompress document", "")
	}
	*v = Versioned{Value: value, Revision: revision, packed: packed}
	return nil
}

func pack(value []byte) []byte {
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	_, _ = w.Write(value) // a buffer takes everything
	_ = w.Close()
	return out.Bytes()
}

func unpack(packed []byte) ([]byte, error) {
	if len(packed) == 0 {
		return nil, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, err
	}
	value, err := io.ReadAll(io.LimitReader(r, maxDocumentBytes+1))
	if err == nil && len(value) > maxDocumentBytes {
		return nil, errs.New("decompress document", "", "more than %d bytes", maxDocumentBytes)
	}
	return value, err
}
