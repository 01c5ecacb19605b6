package dispatch

import "time"

// Bounds on what is remembered: clients choose the names of models, adapters and parts.
const (
	unknownModelRetryAfter = time.Second // told to those who ask for what no configuration names
	minTrackedTargets      = 64          // adapters of one model that are kept account of, however few are configured
	sweepInterval          = 20 * time.Second
)

// namesUnknownModel says whether the request asks for a model that is neither configured nor held, or for one adapter
// more than there can be.
func (d *Decider) namesUnknownModel(asked *Request) bool {
	s := d.services[asked.Service]
	if s == nil || asked.Model == "" || s.engine() == nil {
		return false
	}
	g := s.groups[asked.Model]
	if g == nil {
		return true
	}
	return g.targets[asked.Adapter] == nil && len(g.targets) > max(minTrackedTargets, 2*g.adapterCount)
}

// expirePrefixes forgets parts that were not used for long.
func (d *Decider) expirePrefixes() {
	if d.now-d.lastSweepAt < sweepInterval {
		return
	}
	d.lastSweepAt = d.now
	for _, e := range d.endpoints {
		for _, h := range e.residencies {
			h.prefixCache.expire(d.now)
		}
	}
}

// expire drops what has not been used for long, and the memory for it.
func (p *prefixCache) expire(now time.Duration) {
	for len(p.index) > 0 && now-p.nodes[p.oldest].usedAt > prefixTTL {
		p.drop(p.oldest)
	}
	if len(p.index) == 0 {
		*p = prefixCache{}
	}
}
