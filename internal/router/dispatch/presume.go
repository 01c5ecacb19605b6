package dispatch

import (
	"slices"
	"time"
)

// An endpoint tells what it holds with its heartbeats, which may come long after a load is done. So once the
// expected time of a load has passed, the endpoint is presumed to hold what was loaded: one request tries,
// and the others follow when it is answered. If it is turned away, the load is expected later.
const (
	presumeMargin = 10 * time.Millisecond // beyond the expected end of a load
	presumePart   = 0.03                  // of the load's time, on top
	firstPostpone = 100 * time.Millisecond
	mostPostpone  = 2 * time.Second
)

// arrival is a load of a model or an adapter that is on its way.
type arrival struct {
	at       *endpoint
	adapter  string
	ready    time.Duration
	postpone time.Duration // after the last try that came too early
}

// expect notes what the endpoint is loading.
func (d *Decider) expect(e *endpoint) {
	for _, g := range e.awaited {
		g.expected = slices.DeleteFunc(g.expected, func(a arrival) bool { return a.at == e })
		g.changes++
	}
	e.awaited = e.awaited[:0]
	if !e.takesRequests() {
		return
	}
	for _, l := range e.loading {
		if l.Unload {
			continue
		}
		g := e.service.groupNamed(l.Model)
		margin := presumeMargin + time.Duration(presumePart*float64(l.Remaining))
		g.expected = append(g.expected, arrival{at: e, adapter: l.Adapter, ready: e.loadingAt + l.Remaining + margin})
		g.changes++
		e.awaited = append(e.awaited, g)
	}
}

// expectedAt is when a load that is on its way will be done that the adapter needs.
func (g *group) expectedAt(adapter string, now time.Duration) (at time.Duration, known bool) {
	for i := range g.expected {
		a := &g.expected[i]
		if a.adapter != adapter {
			continue
		}
		if !known || a.ready < at {
			at, known = a.ready, true
		}
	}
	return max(at, now), known
}

// presume takes loads that should be done by now for done, and says whether there were any for the request.
func (d *Decider) presume(r *request) bool {
	g := r.group
	found := false
	for i := range g.expected {
		a := &g.expected[i]
		if a.adapter != r.Adapter || a.ready > d.now || !a.at.takesRequests() || r.hasTried(a.at) {
			continue
		}
		h := a.at.holding(g.model)
		switch {
		case a.adapter == "" && h == nil:
			d.holdOne(a.at, g.model, nil, false)
			h = a.at.holding(g.model)
		case a.adapter == "" || h == nil || h.has(a.adapter):
			continue
		}
		h.presumed = append(h.presumed, a.adapter)
		g.changes++
		found = true
	}
	return found
}

// unproven says whether the holding is only presumed to serve the adapter.
func (h *holding) unproven(adapter string) bool { return slices.Contains(h.presumed, adapter) }

// tries says whether a request has to wait for another one that tries what is presumed.
func (h *holding) tries(adapter string) bool { return h.trying > 0 && h.unproven(adapter) }

// prove: an answer came, so it holds what was presumed.
func (d *Decider) prove(r *request, e *endpoint) {
	h := e.holding(r.Model)
	if h == nil || !h.unproven(r.Adapter) {
		return
	}
	h.presumed = without(slices.Clone(h.presumed), r.Adapter)
	if r.Adapter != "" {
		h.adapters = append(slices.Clone(h.adapters), r.Adapter)
	}
	h.group.changes++
}

// disprove: it was turned away, so the load takes longer. False if nothing was presumed.
func (d *Decider) disprove(r *request, e *endpoint) bool {
	h := e.holding(r.Model)
	if h == nil || !h.unproven(r.Adapter) {
		return false
	}
	h.presumed = without(slices.Clone(h.presumed), r.Adapter)
	for i := range h.group.expected {
		a := &h.group.expected[i]
		if a.at == e && a.adapter == r.Adapter {
			a.postpone = min(max(2*a.postpone, firstPostpone), mostPostpone)
			a.ready = d.now + a.postpone
		}
	}
	if r.Adapter == "" {
		d.release(e, h)
	}
	d.moveOn(e)
	return true
}
