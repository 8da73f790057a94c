// Package weights assembles an agent's parts for weights: the chunk store, the
// transfers, and the server that hands chunks over.
package weights

import (
	"net/http"

	"almondreel.example/almondreel/internal/chunkstore"
	"almondreel.example/almondreel/internal/gateway"
	"almondreel.example/almondreel/internal/link"
	"almondreel.example/almondreel/internal/peer"
	"almondreel.example/almondreel/internal/settings"
	"almondreel.example/almondreel/internal/source"
	"almondreel.example/almondreel/internal/transfer"
)

// ReceiverName is the net/rpc name of Weights.Exchange's receiver.
const ReceiverName = "Agent"

// Weights holds an agent's weights and exchanges them with other agents.
type Weights struct {
	Store    *chunkstore.Store
	Exchange *transfer.Exchange
	server   *peer.Server
}

// New returns the parts for an agent; peers tells which agents take part.
func New(s settings.Agent, peers func() []gateway.Peer) *Weights {
	store := chunkstore.New()
	down := link.NewLimiter(s.Link.DownBytesPerSecond)
	exchange := transfer.NewExchange(transfer.Options{
		Self: gateway.Peer{
			Name:       s.Name,
			Region:     s.Region,
			DataCentre: s.DataCentre,
			Address:    s.Address(),
		},
		Store:     store,
		Sources:   sources(s),
		Transport: peer.NewTransport(s.Region, down),
		Down:      down,
		Peers:     peers,
	})
	server := peer.NewServer(peer.Options{
		Region:               s.Region,
		UpBytesPerSecond:     s.Link.UpBytesPerSecond,
		RegionBytesPerSecond: s.Link.RegionBytesPerSecond,
	}, store)
	return &Weights{Store: store, Exchange: exchange, server: server}
}

// sources prefers the weight store, which is nearer than the origin.
func sources(s settings.Agent) []*source.Client {
	var out []*source.Client
	if s.Store != "" {
		out = append(out, source.NewClient(source.Store, s.Store))
	}
	if s.Origin != "" {
		out = append(out, source.NewClient(source.Origin, s.Origin))
	}
	return out
}

// Register adds the paths for chunks, manifests and weights to mux.
func (w *Weights) Register(mux *http.ServeMux) { w.server.Register(mux) }
