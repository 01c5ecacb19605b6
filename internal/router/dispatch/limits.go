package dispatch

import (
	"time"
)

// Bounds on memory: clients choose the names of models and adapters and the parts of prompts.

const (
	unknownModelRetryAfter = time.Second      // Retry-After of requests for models that no configuration names
	minTrackedTargets      = 64               // adapters of a model whose demand is tracked at least, however few are configured
	sweepInterval          = 20 * time.Second // between removals of expired prefixes
)

// namesUnknownModel reports whether the request names a model that is neither configured nor loaded, or an adapter
// beyond the number that is tracked.
func (d *Decider) namesUnknownModel(incoming *Request) bool {
	s := d.services[incoming.Service]
	if s == nil || incoming.Model == "" || s.engine() == nil {
		return false
	}
	g := s.groups[incoming.Model]
	if g == nil {
		return true
	}
	return g.targets[incoming.Adapter] == nil && len(g.targets) > max(minTrackedTargets, 2*g.adapterCount)
}

// expirePrefixes removes entries of prefix caches that were not used for prefixTTL. It does so once per
// sweepInterval.
func (d *Decider) expirePrefixes() {
	if d.now-d.lastSweepAt < sweepInterval {
		return
	}
	d.lastSweepAt = d.now
	for _, e := range d.endpoints {
		for _, res := range e.residencies {
			res.prefixCache.expire(d.now)
		}
	}
}
