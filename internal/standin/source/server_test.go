package source_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/manifest"
	"almondreel.example/almondreel/internal/source"
	standinsource "almondreel.example/almondreel/internal/standin/source"
)

const (
	model       = "drover"
	version     = "v1"
	waitTimeout = 10 * time.Second
)

// smallVersion spans several generated blocks and ends inside a block.
var smallVersion = standinsource.Version{Bytes: 100_001, Seed: 7, ChunkBytes: 30_000}

type fixture struct {
	*testing.T
	server   *standinsource.Server
	url      string
	manifest manifest.Manifest
}

func start(t *testing.T) fixture {
	server := standinsource.New(standinsource.Options{})
	m, err := server.Publish(model, version, smallVersion)
	require.NoError(t, err)
	listener := httptest.NewServer(server)
	t.Cleanup(listener.Close)
	return fixture{T: t, server: server, url: listener.URL, manifest: m}
}

// read requests the bytes from first to last, both inclusive, and returns the body,
// the status and the error of reading it.
func (f fixture) read(ctx context.Context, first, last int64) ([]byte, int, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, f.url+source.WeightsPath(model, version), nil)
	require.NoError(f, err)
	request.Header.Set("Range", fmt.Sprintf("bytes=%d-%d", first, last))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, 0, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return body, response.StatusCode, err
}

func (f fixture) readChunk(c manifest.Chunk) []byte {
	body, _, err := f.read(context.Background(), c.Offset, c.Offset+c.Bytes-1)
	require.NoError(f, err)
	return body
}

func TestRangeRequestsMatchManifestChunks(t *testing.T) {
	f := start(t)
	require.Len(t, f.manifest.Chunks, 4)
	var all []byte
	for _, c := range f.manifest.Chunks {
		data := f.readChunk(c)
		require.NoError(t, c.Verify(data))
		all = append(all, data...)
	}
	require.Equal(t, f.manifest.Whole, manifest.Sum(all))
	require.Equal(t, smallVersion.Bytes, f.server.Sent().Bytes)
	_, status, err := f.read(context.Background(), smallVersion.Bytes, smallVersion.Bytes)
	require.NoError(t, err)
	require.Equal(t, http.StatusRequestedRangeNotSatisfiable, status)
}

func TestReaderReturnsSameBytesAtAnyOffset(t *testing.T) {
	v := standinsource.Version{Bytes: 20_000, Seed: 1, SharedBytes: 5_000, SharedSeed: 2}
	all, err := io.ReadAll(standinsource.NewReader(v))
	require.NoError(t, err)
	require.Len(t, all, int(v.Bytes))
	for _, offset := range []int64{0, 1, 4095, 4096, 4097, 4999, 5000, 5001, 8191, 19_999} {
		r := standinsource.NewReader(v)
		_, err := r.Seek(offset, io.SeekStart)
		require.NoError(t, err)
		rest, err := io.ReadAll(r)
		require.NoError(t, err)
		require.True(t, bytes.Equal(all[offset:], rest), "offset %d", offset)
	}
}

func TestSharedPrefixGivesEqualChunks(t *testing.T) {
	f := start(t)
	shared := standinsource.Version{Bytes: 4000, Seed: 1, ChunkBytes: 1000, SharedBytes: 2000, SharedSeed: 9}
	one, err := f.server.Publish("m", "v1", shared)
	require.NoError(t, err)
	shared.Seed = 2
	two, err := f.server.Publish("m", "v2", shared)
	require.NoError(t, err)
	require.Equal(t, one.Chunks[:2], two.Chunks[:2])
	require.NotEqual(t, one.Chunks[2], two.Chunks[2])
	require.NotEqual(t, one.Digest(), two.Digest())
}

func TestInvalidVersionsAreRefused(t *testing.T) {
	f := start(t)
	for _, body := range []string{
		`{"Bytes":0}`,
		`{"Bytes":-1}`,
		`{"Bytes":10,"ChunkBytes":-1}`,
		`{"Bytes":10,"SharedBytes":11}`,
		`{"Bytes":1099511627776,"ChunkBytes":1}`,
		`{`,
	} {
		request, err := http.NewRequest(http.MethodPut, f.url+"/v1/models/m/v1", strings.NewReader(body))
		require.NoError(t, err)
		response, err := http.DefaultClient.Do(request)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		require.Equal(t, http.StatusBadRequest, response.StatusCode, body)
	}
}

func TestFaultyResponsesFailVerification(t *testing.T) {
	for name, faults := range map[string]standinsource.Faults{
		"corrupt":   {CorruptOneIn: 2},
		"cut short": {CutShortOneIn: 2},
		"too long":  {TooLongOneIn: 2},
	} {
		t.Run(name, func(t *testing.T) {
			f := start(t)
			f.server.SetFaults(faults)
			last := f.manifest.Chunks[3]
			require.NoError(t, last.Verify(f.readChunk(last)))
			require.Error(t, last.Verify(f.readChunk(last)))
			require.NoError(t, last.Verify(f.readChunk(last)))
		})
	}
}

func TestChangedBytesFailVerification(t *testing.T) {
	f := start(t)
	f.server.SetFaults(standinsource.Faults{ChangeBytes: true})
	for _, c := range f.manifest.Chunks {
		require.Error(t, c.Verify(f.readChunk(c)))
	}
}

func TestStalledResponseResumesWhenFaultIsCleared(t *testing.T) {
	f := start(t)
	f.server.SetFaults(standinsource.Faults{StallAfterBytes: 1000})
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, f.url+source.WeightsPath(model, version), nil)
	require.NoError(t, err)
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	_, err = io.CopyN(io.Discard, response.Body, 1000)
	require.NoError(t, err)
	require.EqualValues(t, 1000, f.server.Sent().Bytes)
	f.server.SetFaults(standinsource.Faults{})
	rest, err := io.Copy(io.Discard, response.Body)
	require.NoError(t, err)
	require.Equal(t, smallVersion.Bytes-1000, rest)
}

func TestDownSourceClosesConnections(t *testing.T) {
	f := start(t)
	f.server.SetFaults(standinsource.Faults{Down: true})
	_, _, err := f.read(context.Background(), 0, 9)
	require.Error(t, err)
	require.Zero(t, f.server.Sent().Bytes)
}
