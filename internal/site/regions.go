package site

// RestrictsRegions reports whether a route or an organisation may be served only in some
// regions.
func (c *Configuration) RestrictsRegions() bool { return c.restricted }

// Same reports whether two configurations state the same route, perhaps with other values.
func (r Route) Same(other Route) bool {
	return r.Name == other.Name && r.Host == other.Host && r.Prefix == other.Prefix
}

// CurrentRoute returns what c states of a route of another configuration, and false if it does
// not have the route. A route may have another host or prefix than before.
func (c *Configuration) CurrentRoute(former Route) (Route, bool) {
	named := -1
	for i, r := range c.Routes {
		switch {
		case r.Same(former):
			return r, true
		case r.Name == former.Name && r.Name != "" && named < 0:
			named = i
		}
	}
	if named < 0 {
		return Route{}, false
	}
	return c.Routes[named], true
}

// OrganisationByName returns the organisation with a name, and false if there is none.
func (c *Configuration) OrganisationByName(name string) (Organisation, bool) {
	for _, o := range c.Organisations {
		if o.Name == name {
			return o, true
		}
	}
	return Organisation{}, false
}

// AllowedRegions returns all regions that routes and organisations name.
func (c *Configuration) AllowedRegions() []string {
	var all []string
	for _, r := range c.Routes {
		all = append(all, r.Regions...)
	}
	for _, o := range c.Organisations {
		all = append(all, o.Regions...)
	}
	return all
}
