package site

// RestrictsRegions reports whether a route or an organisation may be served only in some
// regions.
func (c *Configuration) RestrictsRegions() bool { return c.restricted }

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
