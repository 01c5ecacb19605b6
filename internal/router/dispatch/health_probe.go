package dispatch

// Readmission when (nearly) all endpoints of a service are ejected: then this router's own network may be at fault.

// mostlyEjected reports whether nearly all endpoints of the service are ejected.
func (s *service) mostlyEjected() bool {
	return float64(s.ejected) >= massEjectionFraction*float64(s.endpoints)
}

// readmitAll allows probes of all the service's endpoints soon, because one answers again after nearly all had failed.
func (d *Decider) readmitAll(s *service) {
	for _, e := range d.endpoints {
		if h := &e.health; e.service == s && h.notBefore > d.now {
			h.notBefore = d.now
			h.ejectionBackoff = 0
		}
	}
}

// lastResort lets a request probe an ejected endpoint before its backoff is over, because no other endpoint is left.
func (d *Decider) lastResort(r *request) *residency {
	g := r.group
	gap := minEjectionBackoff
	if !r.Retryable {
		gap = nonRetryableProbeInterval
	}
	if g.lastResortAt > 0 && d.now-g.lastResortAt < gap {
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
