package dispatch

import (
	"time"
)

// Bounds on memory: clients choose the names of models, adapters and parts of prompts.

const (
	unknownModelRetryAfter = time.Second // for requests for what no configuration names
	minTrackedTargets      = 64          // adapters of a model whose demand is tracked, however few are configured
	sweepInterval          = 20 * time.Second
)

// namesUnknownModel reports whether the request names a model that is neither configured nor loaded, or one adapter more than is tracked.
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

// expirePrefixes removes entries of prefix caches that were not used for long.
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
