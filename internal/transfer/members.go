package transfer

import (
	"fmt"
	"slices"
	"sort"
	"strings"

	"almondreel.example/almondreel/internal/gateway"
	"almondreel.example/almondreel/internal/manifest"
	"almondreel.example/almondreel/internal/operator"
	"almondreel.example/almondreel/pkg/takeover"
)

// members ranks the placed instances for each chunk, once among those that
// download chunks from sources and once among those of the agent's region.
type members struct {
	inputs       string                  // of the last update; empty: rank again
	names        []string                // placed instances
	known        map[string]gateway.Peer // placed agents with a known address, without the agent itself
	downloaders  []string
	region       []string
	downloadRank []int // by chunk, the agent's position among downloaders
	regionRank   []int // by chunk, the agent's position among region
	chunkCount   int
	firstChunk   int // at which the region starts, so that regions download different chunks at first
}

// nthChunk returns the index of the k-th chunk in the region's order.
func (m *members) nthChunk(k int) int { return (k + m.firstChunk) % m.chunkCount }

func (m *members) isPlaced(name string) bool { return slices.Contains(m.names, name) }

// update ranks the members again if they changed.
func (m *members) update(p Plan, self gateway.Peer, peers []gateway.Peer, version manifest.Manifest) {
	m.known = make(map[string]gateway.Peer, len(peers))
	region := []string{self.Name}
	for _, other := range peers {
		m.known[other.Name] = other
		if other.Region == self.Region {
			region = append(region, other.Name)
		}
	}
	sort.Strings(region)
	inputs := fmt.Sprint(strings.Join(region, " "), peersInEarlierRegions(self.Region, peers), len(peers))
	if inputs == m.inputs {
		return
	}
	m.inputs, m.region = inputs, region
	m.names = p.Members
	m.chunkCount, m.firstChunk = len(version.Chunks), 0
	m.downloaders = p.Members
	if p.Weighing != operator.OriginBytes {
		m.downloaders = region
		m.firstChunk = m.chunkCount * peersInEarlierRegions(self.Region, peers) / (1 + len(peers))
	}
	m.downloadRank = ranks(version, m.downloaders, self.Name)
	m.regionRank = ranks(version, m.region, self.Name)
}

// peersInEarlierRegions returns the number of peers in regions whose names sort
// before region. It spaces the first chunks of the regions in proportion to
// their sizes.
func peersInEarlierRegions(region string, peers []gateway.Peer) int {
	count := 0
	for _, p := range peers {
		if p.Region < region {
			count++
		}
	}
	return count
}

// ranks returns, by chunk, the position of self among names.
func ranks(version manifest.Manifest, names []string, self string) []int {
	out := make([]int, len(version.Chunks))
	for i, c := range version.Chunks {
		out[i] = takeover.Position(string(c.Digest), names, self)
	}
	return out
}

// rankedBefore returns the known members that rank before position for chunk c.
func (m *members) rankedBefore(c manifest.Chunk, names []string, position int) []gateway.Peer {
	order := takeover.Rank(string(c.Digest), names)
	var out []gateway.Peer
	for _, name := range order[:min(position, len(order))] {
		if p, ok := m.known[name]; ok {
			out = append(out, p)
		}
	}
	return out
}
