package dispatch

// Readmission when (nearly) all endpoints of a service are ejected: then this router's own network may be at fault.

// mostlyEjected reports whether nearly all endpoints of the service are ejected.
func (s *service) mostlyEjected() bool {
	return float64(s.ejected) >= massEjectionFraction*float64(s.endpoints)
}

// readmitAll allows probes of all the service's endpoints soon, because one answers again after nearly all had failed.
func (d *Decider) readmitAll(s *service) {
	for _, e := range d.endpoints {
		if x := &e.health; e.service == s && x.notBefore > d.now {
			x.notBefore = d.now
			x.ejectionBackoff = 0
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
	for _, h := range g.residencies {
		x := &h.endpoint.health
		if !d.eligible(h, r) || x.maxProbes == 0 || x.probes > 0 || h.notBefore > d.now {
			continue
		}
		if best == nil || x.notBefore < best.endpoint.health.notBefore {
			best = h
		}
	}
	if best != nil {
		g.lastResortAt = d.now
		best.endpoint.health.notBefore = d.now
	}
	return best
}
