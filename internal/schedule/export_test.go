package schedule

// WithoutPreferences makes a pool's gateway prefer no servers.
func WithoutPreferences(p *Pool) {
	for _, s := range p.servers {
		s.preference = 1
	}
}
