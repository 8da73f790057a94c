package membership

import (
	"sort"

	"almondreel.example/almondreel/internal/gateway"
	"almondreel.example/almondreel/internal/rendezvous"
)

// nearest returns up to limit members, sorted by name. It prefers members in self's
// data centre, then in its region, then elsewhere. Within each band it picks by
// rendezvous hashing, so that the requests of all agents are distributed over the
// members.
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
		names = append(names, rendezvous.Top(self.Name, band, limit-len(names))...)
	}
	sort.Strings(names)
	out := make([]gateway.Peer, 0, len(names))
	for _, name := range names {
		m := byName[name]
		out = append(out, gateway.Peer{Name: m.Name, Region: m.Region, DataCentre: m.DataCentre, Address: m.Address})
	}
	return out
}

// distance returns 0 for members in the same data centre, 1 in the same region and 2
// otherwise.
func distance(a, b gateway.Member) int {
	switch {
	case a.DataCentre == b.DataCentre:
		return 0
	case a.Region == b.Region:
		return 1
	}
	return 2
}
