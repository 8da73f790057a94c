package manifest_test

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/manifest"
)

// FuzzDecode decodes arbitrary manifests. One that is accepted must list chunks
// without gaps, match its digest, and stay the same when it is encoded and
// decoded again.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"Model":"m","Version":"1","Bytes":3,"Whole":"sha256:0","Chunks":[{"Digest":"sha256:1","Offset":0,"Bytes":2},{"Digest":"sha256:2","Offset":2,"Bytes":1}]}`))
	f.Add([]byte(`{"Bytes":-1,"Chunks":[{"Offset":0,"Bytes":-1}]}`))
	f.Add([]byte(`{"Bytes":0,"Chunks":[{"Offset":0,"Bytes":9223372036854775807},{"Offset":9223372036854775807,"Bytes":1}]}`))
	f.Add([]byte(`{"Chunks":[]}`))
	f.Add([]byte(`null`))
	f.Add([]byte("{\"Model\":\"\xff\"}"))
	f.Fuzz(func(t *testing.T, text []byte) {
		_, err := manifest.Decode(text, "sha256:other")
		require.Error(t, err)
		var claimed manifest.Manifest
		if json.Unmarshal(text, &claimed) != nil {
			return
		}
		m, err := manifest.Decode(text, claimed.Digest())
		if err != nil {
			return
		}
		requireContiguous(t, m)
		again, err := manifest.Decode(m.Encode(), m.Digest())
		require.NoError(t, err)
		require.Equal(t, m, again)
	})
}

func requireContiguous(t *testing.T, m manifest.Manifest) {
	var offset int64
	for _, c := range m.Chunks {
		require.Equal(t, offset, c.Offset)
		require.Positive(t, c.Bytes)
		offset += c.Bytes
	}
	require.Equal(t, m.Bytes, offset)
	require.NotEmpty(t, m.Chunks)
}
