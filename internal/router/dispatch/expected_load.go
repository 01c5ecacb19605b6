package dispatch

import (
	"slices"
	"time"
)

// Expected loads: endpoints announce their models with heartbeats, which may arrive long after a load has finished.
// Once the expected time of a load has passed, the endpoint is assumed to have the model. One request verifies the
// assumption, and others follow when it is answered. If it is rejected, the load is expected to finish later.

const (
	loadMargin          = 10 * time.Millisecond  // added to the expected end of a load
	loadMarginFraction  = 0.03                   // of the load's remaining time, also added
	minLoadPostponement = 100 * time.Millisecond // after a verification that came too early
	maxLoadPostponement = 2 * time.Second
)

// expectedLoad is a load of a model or an adapter that is in progress.
type expectedLoad struct {
	endpoint     *endpoint
	adapter      string        // "" for the model itself
	readyAt      time.Duration // expected end, with the margin
	postponement time.Duration // backoff after the last verification that came too early
}

// updateExpectedLoads replaces the endpoint's expected loads by those of its latest update.
func (d *Decider) updateExpectedLoads(e *endpoint) {
	for _, g := range e.loadingGroups {
		g.expectedLoads = slices.DeleteFunc(g.expectedLoads, func(load expectedLoad) bool { return load.endpoint == e })
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

// nextLoadReadyAt returns when the first load in progress that provides the adapter is expected to finish; false if
// there is none.
func (g *modelGroup) nextLoadReadyAt(adapter string, now time.Duration) (readyAt time.Duration, known bool) {
	for i := range g.expectedLoads {
		load := &g.expectedLoads[i]
		if load.adapter != adapter {
			continue
		}
		if !known || load.readyAt < readyAt {
			readyAt, known = load.readyAt, true
		}
	}
	return max(readyAt, now), known
}

// assumeLoaded assumes that those loads of the request's model and adapter that should have finished by now have
// finished, and reports whether there are any.
func (d *Decider) assumeLoaded(r *request) bool {
	g := r.group
	assumed := false
	if !d.uses(LoadAnticipation) {
		return false
	}
	for i := range g.expectedLoads {
		load := &g.expectedLoads[i]
		if load.adapter != r.Adapter || load.readyAt > d.now || !load.endpoint.acceptsRequests() || r.hasAttempted(load.endpoint) {
			continue
		}
		res := load.endpoint.residencyOf(g.model)
		switch {
		case load.adapter == "" && res == nil:
			d.ensureResidency(load.endpoint, g.model, nil, false)
			res = load.endpoint.residencyOf(g.model)
		case load.adapter == "" || res == nil || res.serves(load.adapter):
			continue
		}
		res.unverified = append(res.unverified, load.adapter)
		g.version++
		assumed = true
	}
	return assumed
}

// isUnverified reports whether the residency is only assumed to have the adapter, or the model if adapter is "".
func (res *residency) isUnverified(adapter string) bool {
	return slices.Contains(res.unverified, adapter)
}

// awaitsVerification reports whether a request must wait because another one is verifying the assumption.
func (res *residency) awaitsVerification(adapter string) bool {
	return res.verifications > 0 && res.isUnverified(adapter)
}

// confirmResidency records that an answer confirmed the assumption.
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

// refuteResidency records that a rejection refuted the assumption: the load takes longer than expected. It returns
// false if nothing was assumed.
func (d *Decider) refuteResidency(r *request, e *endpoint) bool {
	res := e.residencyOf(r.Model)
	if res == nil || !res.isUnverified(r.Adapter) {
		return false
	}
	res.unverified = remove(slices.Clone(res.unverified), r.Adapter)
	for i := range res.group.expectedLoads {
		load := &res.group.expectedLoads[i]
		if load.endpoint == e && load.adapter == r.Adapter {
			load.postponement = min(max(2*load.postponement, minLoadPostponement), maxLoadPostponement)
			load.readyAt = d.now + load.postponement
		}
	}
	if r.Adapter == "" {
		d.removeResidency(e, res)
	}
	d.reassignQueued(e)
	return true
}
