package membership

import (
	"sort"

	"almondreel.example/almondreel/internal/gateway"
	"almondreel.example/almondreel/internal/rank"
)

// nearest returns up to limit of the members, those of self's data centre
// first, then those of its region; within each by rendezvous rank, so that
// agents do not all ask the same few.
func nearest(self gateway.Member, members []gateway.Member, limit int) []gateway.Peer {
	byName := map[string]gateway.Member{}
	var bands [3][]string
	for _, m := range members {
		byName[m.Name] = m
		b := distance(self, m)
		bands[b] = append(bands[b], m.Name)
	}
	var names []string
	for _, band := range bands {
		names = append(names, rank.First(self.Name, band, limit-len(names))...)
	}
	sort.Strings(names)
	out := make([]gateway.Peer, 0, len(names))
	for _, name := range names {
		m := byName[name]
		out = append(out, gateway.Peer{Name: m.Name, Region: m.Region, DataCentre: m.DataCentre, Address: m.Address})
	}
	return out
}

func distance(a, b gateway.Member) int {
	switch {
	case a.DataCentre == b.DataCentre:
		return 0
	case a.Region == b.Region:
		return 1
	}
	return 2
}
