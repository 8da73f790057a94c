// Package weights combines the parts of an agent that handle model weights: the
// chunk store, the transfers, and the server of chunks for other agents.
package weights

import (
	"net/http"

	"almondreel.example/almondreel/internal/chunkio"
	"almondreel.example/almondreel/internal/chunkstore"
	"almondreel.example/almondreel/internal/gateway"
	"almondreel.example/almondreel/internal/peer"
	"almondreel.example/almondreel/internal/settings"
	"almondreel.example/almondreel/internal/source"
	"almondreel.example/almondreel/internal/transfer"
)

// ReceiverName is the net/rpc name of the receiver of Weights.Transfers.
const ReceiverName = "Agent"

// Weights stores an agent's weights and exchanges them with other agents.
type Weights struct {
	Store     *chunkstore.Store
	Transfers *transfer.Manager
	server    *peer.Server
}

// New returns the weights of the agent with settings s; peers returns the other
// agents that fetch or hold the version.
func New(s settings.Agent, peers func() []gateway.Peer) *Weights {
	store := chunkstore.New()
	downLimiter := chunkio.NewLimiter(s.Link.DownBytesPerSecond)
	transfers := transfer.NewManager(transfer.Options{
		Self: gateway.Peer{
			Name:       s.Name,
			Region:     s.Region,
			DataCentre: s.DataCentre,
			Address:    s.Address(),
		},
		Store:       store,
		Sources:     sources(s),
		Transport:   peer.NewTransport(s.Region, downLimiter),
		DownLimiter: downLimiter,
		Peers:       peers,
	})
	server := peer.NewServer(peer.Options{
		Region:               s.Region,
		UpBytesPerSecond:     s.Link.UpBytesPerSecond,
		RegionBytesPerSecond: s.Link.RegionBytesPerSecond,
	}, store)
	return &Weights{Store: store, Transfers: transfers, server: server}
}

// sources returns the sources in order of preference. The weight store comes
// first because it is nearer than the origin.
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
