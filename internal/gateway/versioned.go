package gateway

import (
	"bytes"
	"encoding/binary"

	"almondreel.example/almondreel/internal/compress"
	"almondreel.example/almondreel/internal/errs"
)

// WithCompressed returns a copy of v whose value is already compressed, so that it is
// compressed only once for all peers that v is sent to.
func (v Versioned) WithCompressed() Versioned {
	if len(v.compressed) == 0 && len(v.Value) > 0 {
		v.compressed = compress.Gzip(v.Value)
	}
	return v
}

// GobEncode encodes the revision and the compressed value. A placement repeats the
// instance names for each class, which compresses well.
func (v Versioned) GobEncode() ([]byte, error) {
	return append(binary.AppendUvarint(nil, v.Revision), v.WithCompressed().compressed...), nil
}

// GobDecode decodes and decompresses a document. It keeps the compressed form for
// sending the document to others. It returns an error if the revision is missing or
// the value cannot be decompressed.
func (v *Versioned) GobDecode(data []byte) error {
	revision, n := binary.Uvarint(data)
	if n <= 0 {
		return errs.New("decode document", "", "%d bytes without a revision", len(data))
	}
	compressed := bytes.Clone(data[n:])
	value, err := compress.Gunzip(compressed)
	if err != nil {
		return errs.Wrap(err, "decompress document", "")
	}
	*v = Versioned{Value: value, Revision: revision, compressed: compressed}
	return nil
}
