// Package homeregion determines the regions in which a request may be served.
package homeregion

import "slices"

// Allowed is the set of regions that may serve a request. The zero value allows any.
type Allowed struct {
	Regions []string
	Bound   bool // only Regions are allowed; none if there are none
}

// Of returns the regions that a route or an organisation allows. A nil list allows any
// region, an empty one allows none.
func Of(regions []string) Allowed {
	return Allowed{Regions: regions, Bound: regions != nil}
}

// And returns the regions that both a and b allow.
func (a Allowed) And(b Allowed) Allowed {
	switch {
	case !a.Bound:
		return b
	case !b.Bound:
		return a
	}
	both := Allowed{Bound: true}
	for _, region := range a.Regions {
		if slices.Contains(b.Regions, region) {
			both.Regions = append(both.Regions, region)
		}
	}
	return both
}
