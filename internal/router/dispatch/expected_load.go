package dispatch

import (
	"slices"
	"time"
)

// Expected loads: endpoints announce their models with heartbeats, which may come long after a load has finished. Once the expected time
// of a load has passed, the endpoint is assumed to have the model: one request verifies that, and others follow when it is answered. If
// it is rejected, the load is expected later.

const (
	loadMargin          = 10 * time.Millisecond // beyond the expected end of a load
	loadMarginFraction  = 0.03                  // of the load's remaining time, on top
	minLoadPostponement = 100 * time.Millisecond
	maxLoadPostponement = 2 * time.Second
)

// expectedLoad is a load of a model or an adapter that is under way.
type expectedLoad struct {
	endpoint     *endpoint
	adapter      string // "": the model itself
	readyAt      time.Duration
	postponement time.Duration // after the last verification that came too early
}

// updateExpectedLoads replaces what is known of the endpoint's loads under way.
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

// nextLoadReadyAt returns when a load under way is expected to finish that provides the adapter.
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

// assumeLoaded treats loads that should have finished by now as finished, and reports whether there were any for the request.
func (d *Decider) assumeLoaded(r *request) bool {
	g := r.group
	assumed := false
	if !d.uses(LoadAnticipation) {
		return false
	}
	for i := range g.expectedLoads {
		a := &g.expectedLoads[i]
		if a.adapter != r.Adapter || a.readyAt > d.now || !a.endpoint.acceptsRequests() || r.hasAttempted(a.endpoint) {
			continue
		}
		res := a.endpoint.residencyOf(g.model)
		switch {
		case a.adapter == "" && res == nil:
			d.ensureResidency(a.endpoint, g.model, nil, false)
			res = a.endpoint.residencyOf(g.model)
		case a.adapter == "" || res == nil || res.serves(a.adapter):
			continue
		}
		res.unverified = append(res.unverified, a.adapter)
		g.version++
		assumed = true
	}
	return assumed
}

// isUnverified reports whether the residency is only assumed to have the adapter.
func (res *residency) isUnverified(adapter string) bool {
	return slices.Contains(res.unverified, adapter)
}

// awaitsVerification reports whether a request must wait for another one that verifies the assumption.
func (res *residency) awaitsVerification(adapter string) bool {
	return res.verifications > 0 && res.isUnverified(adapter)
}

// confirmResidency notes that an answer proved the assumption.
func (d *Decider) confirmResidency(r *request, e *endpoint) {
	res := e.residencyOf(r.Model)
	if res == nil || !res.isUnverified(r.Adapter) {
		return
	}
	res.unverified = remove(slices.Clone(res.unverified), r.Adapter)
	if r.Adapter != "" {
		res.adapters = append(slices.Clone(res.adapters), r.Adapter)
	}
	res.group.version++
}

// refuteResidency notes that a rejection disproved the assumption: the load takes longer. False if nothing was assumed.
func (d *Decider) refuteResidency(r *request, e *endpoint) bool {
	res := e.residencyOf(r.Model)
	if res == nil || !res.isUnverified(r.Adapter) {
		return false
	}
	res.unverified = remove(slices.Clone(res.unverified), r.Adapter)
	for i := range res.group.expectedLoads {
		a := &res.group.expectedLoads[i]
		if a.endpoint == e && a.adapter == r.Adapter {
			a.postponement = min(max(2*a.postponement, minLoadPostponement), maxLoadPostponement)
			a.readyAt = d.now + a.postponement
		}
	}
	if r.Adapter == "" {
		d.removeResidency(e, res)
	}
	d.reassignQueued(e)
	return true
}
