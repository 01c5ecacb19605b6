package dispatch

import (
	"slices"
	"time"
)

// An endpoint tells what it holds with its heartbeats, which may come long after a load is done. So once the
// expected time of a load has passed, the endpoint is presumed to hold what was loaded: one request tries,
// and the others follow when it is answered. If it is turned away, the load is expected later.
const (
	loadMargin          = 10 * time.Millisecond // beyond the expected end of a load
	loadMarginFraction  = 0.03                  // of the load's time, on top
	minLoadPostponement = 100 * time.Millisecond
	maxLoadPostponement = 2 * time.Second
)

// expectedLoad is a load of a model or an adapter that is on its way.
type expectedLoad struct {
	endpoint     *endpoint
	adapter      string
	readyAt      time.Duration
	postponement time.Duration // after the last try that came too early
}

// updateExpectedLoads notes what the endpoint is loading.
func (d *Decider) updateExpectedLoads(e *endpoint) {
	for _, g := range e.loadingGroups {
		g.expectedLoads = slices.DeleteFunc(g.expectedLoads, func(a expectedLoad) bool { return a.endpoint == e })
		g.version++
	}
	e.loadingGroups = e.loadingGroups[:0]
	if !e.acceptsRequests() {
		return
	}
	for _, l := range e.pendingLoads {
		if l.Unload {
			continue
		}
		g := e.service.ensureGroup(l.Model)
		margin := loadMargin + time.Duration(loadMarginFraction*float64(l.Remaining))
		g.expectedLoads = append(g.expectedLoads, expectedLoad{endpoint: e, adapter: l.Adapter, readyAt: e.loadsReceivedAt + l.Remaining + margin})
		g.version++
		e.loadingGroups = append(e.loadingGroups, g)
	}
}

// nextLoadReadyAt is when a load that is on its way will be done that the adapter needs.
func (g *modelGroup) nextLoadReadyAt(adapter string, now time.Duration) (at time.Duration, known bool) {
	for i := range g.expectedLoads {
		a := &g.expectedLoads[i]
		if a.adapter != adapter {
			continue
		}
		if !known || a.readyAt < at {
			at, known = a.readyAt, true
		}
	}
	return max(at, now), known
}

// assumeLoaded takes loads that should be done by now for done, and says whether there were any for the request.
func (d *Decider) assumeLoaded(r *request) bool {
	g := r.group
	found := false
	for i := range g.expectedLoads {
		a := &g.expectedLoads[i]
		if a.adapter != r.Adapter || a.readyAt > d.now || !a.endpoint.acceptsRequests() || r.hasAttempted(a.endpoint) {
			continue
		}
		h := a.endpoint.residencyOf(g.model)
		switch {
		case a.adapter == "" && h == nil:
			d.ensureResidency(a.endpoint, g.model, nil, false)
			h = a.endpoint.residencyOf(g.model)
		case a.adapter == "" || h == nil || h.serves(a.adapter):
			continue
		}
		h.unverified = append(h.unverified, a.adapter)
		g.version++
		found = true
	}
	return found
}

// isUnverified says whether the holding is only presumed to serve the adapter.
func (h *residency) isUnverified(adapter string) bool { return slices.Contains(h.unverified, adapter) }

// awaitsVerification says whether a request has to wait for another one that tries what is presumed.
func (h *residency) awaitsVerification(adapter string) bool {
	return h.verifications > 0 && h.isUnverified(adapter)
}

// prove: an answer came, so it holds what was presumed.
func (d *Decider) confirmResidency(r *request, e *endpoint) {
	h := e.residencyOf(r.Model)
	if h == nil || !h.isUnverified(r.Adapter) {
		return
	}
	h.unverified = remove(slices.Clone(h.unverified), r.Adapter)
	if r.Adapter != "" {
		h.adapters = append(slices.Clone(h.adapters), r.Adapter)
	}
	h.group.version++
}

// disprove: it was turned away, so the load takes longer. False if nothing was presumed.
func (d *Decider) refuteResidency(r *request, e *endpoint) bool {
	h := e.residencyOf(r.Model)
	if h == nil || !h.isUnverified(r.Adapter) {
		return false
	}
	h.unverified = remove(slices.Clone(h.unverified), r.Adapter)
	for i := range h.group.expectedLoads {
		a := &h.group.expectedLoads[i]
		if a.endpoint == e && a.adapter == r.Adapter {
			a.postponement = min(max(2*a.postponement, minLoadPostponement), maxLoadPostponement)
			a.readyAt = d.now + a.postponement
		}
	}
	if r.Adapter == "" {
		d.removeResidency(e, h)
	}
	d.reassignQueued(e)
	return true
}
