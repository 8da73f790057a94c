package proxy

import "time"

// EndBy makes the handler start only requests whose answers are complete before endsAt,
// when End is called, and refuse the others.
func (h *Handler) EndBy(endsAt time.Time) { h.Pools.stop(endsAt) }

// End ends all requests in progress. Their callers get a final answer, unless part of it
// was sent.
func (h *Handler) End() { h.ending.End() }

// stop makes the pools start only requests whose answers are complete before endsAt.
func (p *Pools) stop(endsAt time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endsAt = endsAt
	now := time.Now()
	for _, pool := range p.pools {
		p.deliver(pool.Stop(now, endsAt))
	}
}
