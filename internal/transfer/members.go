package transfer

import (
	"fmt"
	"slices"
	"sort"
	"strings"

	"almondreel.example/almondreel/internal/gateway"
	"almondreel.example/almondreel/internal/manifest"
	"almondreel.example/almondreel/internal/operator"
	"almondreel.example/almondreel/pkg/stripe"
)

// members ranks the placed instances for each chunk. Two rankings exist: who
// draws a chunk from a source, and who brings it into the own region.
type members struct {
	key    string
	names  []string                // placed
	known  map[string]gateway.Peer // placed and heard of, without the agent itself
	draw   []string
	region []string
	drawAt []int // by chunk, the agent's position among draw
	nearAt []int // by chunk, the agent's position among region
	chunks int
	first  int // chunk at which the region begins, so that regions draw different ones
}

// nth returns the index of the k-th chunk in the region's order.
func (m *members) nth(k int) int { return (k + m.first) % m.chunks }

func (m *members) placed(name string) bool { return slices.Contains(m.names, name) }

// update ranks again when members came or went.
func (m *members) update(p Plan, self gateway.Peer, peers []gateway.Peer, of manifest.Manifest) {
	m.known = make(map[string]gateway.Peer, len(peers))
	region := []string{self.Name}
	for _, other := range peers {
		m.known[other.Name] = other
		if other.Region == self.Region {
			region = append(region, other.Name)
		}
	}
	sort.Strings(region)
	key := fmt.Sprint(strings.Join(region, " "), place(self.Region, peers), len(peers))
	if key == m.key {
		return
	}
	m.key, m.region = key, region
	m.names = p.Members
	m.chunks, m.first = len(of.Chunks), 0
	m.draw = p.Members
	if p.Weighing != operator.OriginBytes {
		m.draw = region
		m.first = m.chunks * place(self.Region, peers) / (1 + len(peers))
	}
	m.drawAt = positions(of, m.draw, self.Name)
	m.nearAt = positions(of, m.region, self.Name)
}

// place returns how many of peers are in regions before region in order of
// name: regions begin their draws apart in proportion to their sizes.
func place(region string, peers []gateway.Peer) int {
	count := 0
	for _, p := range peers {
		if p.Region < region {
			count++
		}
	}
	return count
}

func positions(of manifest.Manifest, names []string, self string) []int {
	out := make([]int, len(of.Chunks))
	for i, c := range of.Chunks {
		out[i] = stripe.Position(string(c.Digest), names, self)
	}
	return out
}

// ahead returns the known members that take chunk c before position.
func (m *members) ahead(c manifest.Chunk, names []string, position int) []gateway.Peer {
	order := stripe.Rank(string(c.Digest), names)
	var out []gateway.Peer
	for _, name := range order[:min(position, len(order))] {
		if p, ok := m.known[name]; ok {
			out = append(out, p)
		}
	}
	return out
}
