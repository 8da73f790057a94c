package peer_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/agent"
	"almondreel.example/almondreel/internal/chunkstore"
	"almondreel.example/almondreel/internal/manifest"
	"almondreel.example/almondreel/internal/peer"
)

const chunkBytes = 64 << 10 // more than a limiter's burst

var text = strings.Repeat("a", chunkBytes) + strings.Repeat("b", chunkBytes)

func serve(t *testing.T, o peer.Options) (*chunkstore.Store, manifest.Manifest, *httptest.Server) {
	t.Helper()
	store := chunkstore.New()
	m, err := manifest.Build("model", "1", bytes.NewReader([]byte(text)), chunkBytes)
	require.NoError(t, err)
	store.AddVersion(m.Digest(), m)
	for _, c := range m.Chunks {
		require.NoError(t, store.Put(c, []byte(text[c.Offset:c.Offset+c.Bytes])))
	}
	mux := http.NewServeMux()
	peer.NewServer(o, store).Register(mux)
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return store, m, server
}

func client(server *httptest.Server, region string) *peer.Client {
	return peer.NewClient(strings.TrimPrefix(server.URL, "http://"), peer.NewTransport(region, nil))
}

func TestChunksAndManifestsAreRead(t *testing.T) {
	_, m, server := serve(t, peer.Options{Region: "delta"})
	c := client(server, "delta")
	got, err := c.Manifest(context.Background(), m.Digest())
	require.NoError(t, err)
	require.Equal(t, m, got)
	data, err := c.Chunk(context.Background(), m.Chunks[1])
	require.NoError(t, err)
	require.Equal(t, text[chunkBytes:], string(data))
	_, err = c.Chunk(context.Background(), manifest.Chunk{Digest: manifest.Sum(nil), Bytes: 4})
	require.ErrorIs(t, err, peer.ErrNotHeld)
	_, err = c.Manifest(context.Background(), manifest.Sum(nil))
	require.ErrorIs(t, err, peer.ErrNotHeld)
}

func TestUploadsAreBounded(t *testing.T) {
	_, m, server := serve(t, peer.Options{Region: "delta", UpBytesPerSecond: 1})
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	busy := make(chan error, 64)
	for range 16 {
		group.Add(1)
		go func() {
			defer group.Done()
			_, err := client(server, "delta").Chunk(ctx, m.Chunks[0])
			busy <- err
		}()
	}
	require.ErrorIs(t, <-busy, peer.ErrBusy)
	cancel()
	group.Wait()
}

func TestOnlyVerifiedWeightsAreServed(t *testing.T) {
	store, m, server := serve(t, peer.Options{Region: "delta"})
	url := server.URL + agent.WeightsPath + string(m.Digest())
	response, err := http.Get(url)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusNotFound, response.StatusCode)
	require.NoError(t, store.Verify(m.Digest()))
	response, err = http.Get(url)
	require.NoError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Equal(t, text, string(body))
}
