package placer

import "time"

// Times within which orders are answered and end.
const (
	// answerTimeout is how long an order may go without a result; it counts as Unknown then.
	answerTimeout = 3 * time.Second
	// adapterLoadTime is the expected time of an order for an adapter: it arrives within some milliseconds, and a
	// heartbeat says so.
	adapterLoadTime = 200 * time.Millisecond
	// adapterLoadTimeout is how long after its answer an order for an adapter counts as done without a heartbeat that
	// shows it.
	adapterLoadTimeout = time.Second
	// loadTimeoutFactor gives the time after which a load that nothing shows as done is given up, in load times of
	// the model.
	loadTimeoutFactor = 3
	// unloadTimeout is the same for an unload.
	unloadTimeout = 30 * time.Second
	// busyBackoff is the time without orders to an endpoint after 409.
	busyBackoff = 300 * time.Millisecond
	// invalidBackoff is the same after any other 4xx.
	invalidBackoff = 2 * time.Second
	// planTimeout is how long a plan may go without an order until its endpoint is decided about again.
	planTimeout = 4 * time.Second
)

// When no order of an earlier leader can be under way any more, without inspections.
const (
	inheritedOrderWindow     = 15 * time.Second // since the first step
	inheritedOrderHeartbeats = 2                // and more heartbeats than this
)

// handleResult takes the answer to an order in.
func (p *Placer) handleResult(now time.Time, result Result) {
	e := p.unanswered[result.ID]
	if e == nil {
		return
	}
	delete(p.unanswered, result.ID)
	mayHaveBegun := result.Outcome == Accepted || result.Outcome == Unknown
	if e.pending != nil && e.pending.order.ID == result.ID {
		p.handlePendingResult(now, e, result.Outcome)
	}
	p.loadLimiter.resolve(result.ID, now, mayHaveBegun)
}

// handlePendingResult takes the answer to the endpoint's pending order in.
func (p *Placer) handlePendingResult(now time.Time, e *endpoint, outcome Outcome) {
	pending := e.pending
	pending.answeredAt, pending.sequenceAtAnswer = now, e.Sequence
	switch outcome {
	case Accepted:
		pending.phase = orderAccepted
		e.revision++
		e.inspectAt = pending.expectedAt
		if pending.effectSeen {
			e.completeOrder(now)
		}
	case AlreadyApplied:
		e.completeOrder(now)
		e.invalidateState(now)
	case Unknown:
		pending.phase = orderUncertain
		p.counters.Unanswered++
		e.inspectAt = now.Add(firstInspectionDelay)
		if pending.effectSeen {
			e.completeOrder(now)
			e.invalidateState(now)
		}
	default:
		p.handleRejection(now, e, outcome)
	}
}

// handleRejection ends an order that the endpoint rejected: its state is not the assumed one.
func (p *Placer) handleRejection(now time.Time, e *endpoint, outcome Outcome) {
	p.counters.Rejected++
	e.pending = nil
	e.invalidateState(now)
	backoff := busyBackoff
	if outcome == Invalid {
		backoff = invalidBackoff
		e.plan = nil
	}
	e.backoffUntil = now.Add(backoff)
}

// expireOrders ends orders and plans that have taken too long, and notes which endpoints can have no order of an
// earlier leader.
func (p *Placer) expireOrders(now time.Time, f *fleet) {
	for _, e := range f.sortedEndpoints {
		if e.heartbeats > inheritedOrderHeartbeats && now.Sub(p.startedAt) > inheritedOrderWindow {
			e.inheritedOrdersOver = true
		}
		if e.plan != nil && (!e.isReady() || (e.pending == nil && now.Sub(e.plan.lastProgressAt) > planTimeout)) {
			e.plan = nil
		}
		if e.pending != nil {
			p.expireOrder(now, f, e)
		}
	}
}

// expireOrder ends the endpoint's pending order if it has taken too long. With inspections an accepted order for a
// model is not ended here: its end is asked for.
func (p *Placer) expireOrder(now time.Time, f *fleet, e *endpoint) {
	pending := e.pending
	switch {
	case pending.phase == orderSent && now.Sub(pending.sentAt) > answerTimeout:
		p.handleResult(now, Result{ID: pending.order.ID, Outcome: Unknown})
	case pending.phase == orderAccepted && pending.order.Adapter != "" && now.Sub(pending.answeredAt) >= adapterLoadTimeout:
		e.completeOrder(now)
	case !p.config.InspectEndpoints && pending.phase != orderSent && now.Sub(pending.sentAt) > f.orderTimeout(pending.order):
		e.abandonOrder(now)
	}
}

// orderTimeout is how long after it was sent an order is given up if no heartbeat shows its effect.
func (f *fleet) orderTimeout(order Order) time.Duration {
	if order.Unload {
		return unloadTimeout
	}
	return time.Duration(loadTimeoutFactor*f.models[order.Model].LoadTimeSeconds*float64(time.Second)) + answerTimeout
}

// abandonOrder ends an order of which nothing more will be heard. A model that was to be unloaded may still be there,
// and counts as loaded.
func (e *endpoint) abandonOrder(now time.Time) {
	unloadedModel := e.pending.unloadsModel()
	e.pending = nil
	if !unloadedModel {
		e.invalidateState(now)
	}
}
