package gateway_test

import (
	"bytes"
	"encoding/gob"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/gateway"
)

func roundTrip(t *testing.T, d gateway.Documents) (gateway.Documents, int) {
	var wire bytes.Buffer
	require.NoError(t, gob.NewEncoder(&wire).Encode(d))
	size := wire.Len()
	var decoded gateway.Documents
	require.NoError(t, gob.NewDecoder(&wire).Decode(&decoded))
	return decoded, size
}

func TestDocumentsRoundTripCompressed(t *testing.T) {
	text := []byte(strings.Repeat(`"assistant-0001",`, 5000))
	sent := gateway.Documents{Placement: gateway.Versioned{Value: text, Revision: 7}}
	got, size := roundTrip(t, sent)
	require.Equal(t, text, got.Placement.Value)
	require.Equal(t, uint64(7), got.Placement.Revision)
	require.Empty(t, got.Configuration.Value)
	require.Less(t, size, len(text)/10)
	again, _ := roundTrip(t, got)
	require.Equal(t, got, again)
}

func TestGobDecodeRejectsMalformedDocument(t *testing.T) {
	var v gateway.Versioned
	require.Error(t, v.GobDecode(nil))
	require.Error(t, v.GobDecode([]byte{1, 'x', 'y'}))
	encoded, err := gateway.Versioned{Value: []byte("document"), Revision: 1}.GobEncode()
	require.NoError(t, err)
	require.Error(t, v.GobDecode(encoded[:len(encoded)-4]))
	require.Zero(t, v.Revision)
	huge, err := gateway.Versioned{Value: make([]byte, 8<<20), Revision: 1}.GobEncode()
	require.NoError(t, err)
	require.Error(t, v.GobDecode(huge))
}
