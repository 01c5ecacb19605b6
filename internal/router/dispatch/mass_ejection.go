package dispatch

// Mass ejection: while nearly all endpoints of a service are ejected, this router's own network may be at fault.
// Endpoints are then probed before their backoff has passed.

// mostlyEjected reports whether nearly all endpoints of the service are ejected.
func (s *service) mostlyEjected() bool {
	return float64(s.ejected) >= massEjectionFraction*float64(s.endpoints)
}

// readmitAll allows probes of all the service's endpoints at once. It is called when one of them answers again after
// nearly all were ejected.
func (d *Decider) readmitAll(s *service) {
	for _, e := range d.endpoints {
		if h := &e.health; e.service == s && h.notBefore > d.now {
			h.notBefore = d.now
			h.ejectionBackoff = 0
		}
	}
}

// lastResort selects an ejected endpoint to be probed by the request before its backoff has passed, because no other
// endpoint is available. It returns nil if there is none, or if the last such probe for the model was too recent.
func (d *Decider) lastResort(r *request) *residency {
	g := r.group
	interval := minEjectionBackoff
	if !r.Retryable {
		interval = nonRetryableProbeInterval
	}
	if g.lastResortAt > 0 && d.now-g.lastResortAt < interval {
		return nil
	}
	var best *residency
	for _, res := range g.residencies {
		h := &res.endpoint.health
		if !d.eligible(res, r) || h.maxProbes == 0 || h.probes > 0 || res.notBefore > d.now {
			continue
		}
		if best == nil || h.notBefore < best.endpoint.health.notBefore {
			best = res
		}
	}
	if best != nil {
		g.lastResortAt = d.now
		best.endpoint.health.notBefore = d.now
	}
	return best
}
