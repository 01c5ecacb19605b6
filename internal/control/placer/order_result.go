package placer

import "time"

// Timeouts and expected durations of orders and plans.
const (
	// answerTimeout is how long an order may go without a result before it counts as Unknown.
	answerTimeout = 3 * time.Second
	// adapterLoadTime is the expected duration of an adapter order: the order arrives within milliseconds, and a heartbeat
	// shows its effect.
	adapterLoadTime = 200 * time.Millisecond
	// adapterLoadTimeout is how long after its answer an adapter order counts as completed even if no heartbeat has shown
	// its effect.
	adapterLoadTimeout = time.Second
	// loadTimeoutFactor is the number of the model's load times after which a load is abandoned if nothing has shown its
	// effect.
	loadTimeoutFactor = 3
	// unloadTimeout is the time after which an unload is abandoned if nothing has shown its effect.
	unloadTimeout = 30 * time.Second
	// busyBackoff is how long an endpoint gets no orders after a 409.
	busyBackoff = 300 * time.Millisecond
	// invalidBackoff is how long an endpoint gets no orders after any other 4xx.
	invalidBackoff = 2 * time.Second
	// planTimeout is how long a plan may go without an order before it is dropped and its endpoint is available again.
	planTimeout = 4 * time.Second
)

// Without inspections, an order of an earlier leader counts as possibly in progress until both limits are exceeded.
const (
	inheritedOrderWindow     = 15 * time.Second // time since the first step
	inheritedOrderHeartbeats = 2                // heartbeats of the endpoint
)

// handleResult processes the answer to an order.
func (p *Placer) handleResult(now time.Time, result Result) {
	e := p.unanswered[result.ID]
	if e == nil {
		return
	}
	delete(p.unanswered, result.ID)
	mayHaveStarted := result.Outcome == Accepted || result.Outcome == Unknown
	if e.pending != nil && e.pending.order.ID == result.ID {
		p.handlePendingResult(now, e, result.Outcome)
	}
	p.loadLimiter.resolve(result.ID, now, mayHaveStarted)
}

// handlePendingResult processes the answer to the endpoint's pending order.
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

// handleRejection ends an order that the endpoint rejected because its state differs from the assumed state.
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

// expireOrders ends orders and plans that have taken too long, and records which endpoints can no longer have an order
// of an earlier leader.
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

// expireOrder ends the endpoint's pending order if it has taken too long. With inspections, an accepted order for a
// model is not ended here, because inspections show when it ends.
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

// orderTimeout returns how long after it was sent an order is abandoned if no heartbeat has shown its effect.
func (f *fleet) orderTimeout(order Order) time.Duration {
	if order.Unload {
		return unloadTimeout
	}
	return time.Duration(loadTimeoutFactor*f.models[order.Model].LoadTimeSeconds*float64(time.Second)) + answerTimeout
}

// abandonOrder ends an order whose effect nothing has shown in time. A model that was to be unloaded may still be
// loaded, and counts as loaded.
func (e *endpoint) abandonOrder(now time.Time) {
	unloadedModel := e.pending.unloadsModel()
	e.pending = nil
	if !unloadedModel {
		e.invalidateState(now)
	}
}
