package schedule

// markSuperseded finds the servers whose address a later start has taken. The entry of a
// server that ended stays listed for some seconds, during which another server may have
// its address. What an entry claims is not enough to supersede another: a later start
// counts only while it accepts requests and has not been refuted by the server at the
// address, which answers that it is another one.
func (p *Pool) markSuperseded() {
	latest := map[string]int64{}
	for _, s := range p.servers {
		if s.Ready && !s.misdirected {
			latest[s.Address] = max(latest[s.Address], s.StartUnixMS)
		}
	}
	for _, s := range p.servers {
		s.superseded = s.StartUnixMS < latest[s.Address]
	}
}

// setMisdirected records whether the server at s's address answered that it is another
// one, or as s.
func (p *Pool) setMisdirected(s *server, misdirected bool) {
	if s.misdirected != misdirected {
		s.misdirected = misdirected
		p.markSuperseded()
	}
}
