package gateway

import (
	"bytes"
	"encoding/binary"

	"almondreel.example/almondreel/internal/errs"
	"almondreel.example/almondreel/internal/packed"
)

// WithPacked returns v with its compressed form made, so that it is made once
// for all peers that v is sent to.
func (v Versioned) WithPacked() Versioned {
	if len(v.packed) == 0 && len(v.Value) > 0 {
		v.packed = packed.Pack(v.Value)
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
	form := bytes.Clone(text[n:])
	value, err := packed.Unpack(form)
	if err != nil {
		return errs.Wrap(err, "decompress document", "")
	}
	*v = Versioned{Value: value, Revision: revision, packed: form}
	return nil
}
