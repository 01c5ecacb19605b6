package raventrestle

// Dispatch: the fair queue, the choice of message and target, and the calls.

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"raventrestle/asfq"
)

// enqueue queues the message and adds a turn to its flow.
func (p *Policy) enqueue(m *message) {
	p.flows.AddTurn(m.dest, p.flows.Cost(m.dest), p.now)
	m.dest.queue = append(m.dest.queue, m)
}

// dequeue removes the message from the queue and the last turn from its flow.
func (p *Policy) dequeue(m *message) {
	p.flows.RemoveLastTurn(m.dest)
	m.dest.queue = removeElement(m.dest.queue, m)
}

// runMonitor runs the monitor of the fair queue. When a period ends, it removes idle destinations without
// targets.
func (p *Policy) runMonitor() {
	if p.flows.Tick(p.now) {
		maps.DeleteFunc(p.destinations, func(_ DestID, d *destination) bool {
			return d.QueuedTurns()+d.InFlight()+len(d.targets) == 0 && d.sharedRoute.waitUntil <= p.now
		})
		p.answeredIdle = [2]time.Duration{0, p.answeredIdle[0]}
	}
	if len(p.messages) > 0 {
		p.wakeBy(p.flows.PeriodEnd)
	}
}

// dispatch starts calls in order of start tag plus penalty while slots are free. In addition to the ASFQ
// algorithm, a flow whose next message is less urgent than others waits for extra turns. Flows without an
// eligible message are skipped and do not block others.
func (p *Policy) dispatch() {
	for _, d := range p.flows.ActiveFlows {
		d.Degraded = p.isDegraded(d)
	}
	p.updateUrgency()
	for _, d := range p.flows.ActiveFlows {
		p.updateNext(d)
	}
	for d, ok := p.flows.Next(p.offer); ok; d, ok = p.flows.Next(p.offer) {
		p.startCall(d.nextMessage, d.nextTarget)
		p.updateNext(d)
	}
}

// updateNext determines the destination's next message and target if a slot is free.
func (p *Policy) updateNext(d *destination) {
	if d.nextMessage = nil; d.QueuedTurns() > 0 && p.flows.BusySlots < p.flows.Slots {
		d.nextMessage, d.nextTarget = p.chooseNext(d)
	}
}

// offer reports whether the destination has a message to send, and how many extra turns that message waits.
func (p *Policy) offer(d *destination) (extraTurns float64, ok bool) {
	if d.nextMessage != nil && p.atSlotLimit(d, 1) {
		p.updateNext(d)
	}
	if d.nextMessage == nil {
		return 0, false
	}
	return min(p.maxUrgency/max(d.nextMessage.urgency, 1e-9), float64(len(p.messages))), true
}

// chooseNext chooses the message that takes the destination's next turn, and its target. A target that became
// half-open because a call seems to hang, with no failure so far, gets an idempotent message as a probe,
// since only the connection of that call may be broken. All degraded destinations may use half of the slots
// for such probes.
func (p *Policy) chooseNext(d *destination) (*message, *target) {
	var available []*target
	atLimit := p.atSlotLimit(d, 1)
	for _, t := range d.targets {
		if !p.canSendTo(t) {
			continue
		}
		available = append(available, t)
		if t.health == halfOpen && t.failuresInRow == 0 && !p.atSlotLimit(d, 2) {
			if i := slices.IndexFunc(d.queue, func(m *message) bool {
				return m.class.Idempotency == Idempotent
			}); i >= 0 {
				return d.queue[i], t
			}
		}
	}
	if atLimit {
		return nil, nil
	}
	return p.selected(d, available)
}

// selected returns the most urgent message that may go to an available target, and its cheapest target.
func (p *Policy) selected(d *destination, available []*target) (selected *message, cheapest *target) {
	for _, m := range d.queue {
		if selected != nil && cmp.Or(cmp.Compare(selected.urgency, m.urgency),
			cmp.Compare(m.softDeadline, selected.softDeadline)) >= 0 {
			continue
		}
		var candidate *target
		for _, t := range available {
			if p.attemptAllowed(m, t) && (candidate == nil || p.targetCost(m, t) < p.targetCost(m, candidate)) {
				candidate = t
			}
		}
		if candidate != nil {
			selected, cheapest = m, candidate
		}
	}
	return selected, cheapest
}

// targetCost returns the cost of sending the message to the target in seconds: the expected time including
// the calls in flight there, the expected loss by failures, and the charges, as fractions of the longest
// deadline. A target that needs a trial costs ten times its expected time.
func (p *Policy) targetCost(m *message, t *target) float64 {
	mean, _ := p.expectedLatency(t.route)
	seconds := cmp.Or(t.meanLatency, mean).Seconds() * float64(1+t.inFlight) * t.costFactor
	fees := 0.0
	if t.idleSince == 0 || p.now-t.idleSince > p.settings.IdleTimeout {
		fees += p.settings.Charges.Handshake
	}
	if t.zone != p.settings.Zone {
		fees += p.settings.Charges.CrossZone
	}
	if t.dest.kind.RoutePerTarget && t.zone >= 0 && t.zone < len(p.settings.Zones) {
		fees += p.settings.Zones[t.zone].Fee
	}
	if t.needsTrial() {
		seconds *= 10
	}
	return seconds + fees*p.maxDeadline.Seconds() +
		p.failureProbability(t, m.classIndex)*p.timeout(m, t).Seconds()
}

// startCall sends the message and, if the kind allows batches, further messages for the same target in one
// call.
func (p *Policy) startCall(m *message, t *target) {
	d, r := m.dest, t.route
	c := &call{target: t, startedAt: p.now, idleTime: p.connectionIdleTime(t), trial: t.needsTrial()}
	d.calls = append(d.calls, c)
	t.inFlight++
	r.tokens--
	if t.lastSentAt > 0 {
		t.sendInterval = asfq.EWMA(t.sendInterval, p.now-t.lastSentAt, 4)
	}
	window := p.rateWindow(r)
	r.sentRate, r.sentRateAt = r.sentRate*math.Exp(-(p.now-r.sentRateAt).Seconds()/window)+1/window, p.now
	t.lastSentAt = p.now
	if c.trial {
		t.trialsInFlight++
	}
	if t.health == halfOpen {
		p.scheduleTrial(t.route)
	} else if t.health == slowStart {
		r.nextCallAt = p.now + interval(p.slowStartRate(r))
	}
	p.sendMessage(m, c)
	for !c.trial && c.pending < d.kind.MaxBatch {
		next, _ := p.selected(d, []*target{t})
		if next == nil {
			break
		}
		p.sendMessage(next, c)
	}
}

func (p *Policy) sendMessage(m *message, c *call) {
	d := m.dest
	if c.pending > 0 { // a batched message uses no slot, so the flow's last turn is removed
		p.dequeue(m)
	} else {
		d.queue, c.first = removeElement(d.queue, m), m
		p.flows.StartCall(d, p.now)
	}
	m.call, m.attempts = c, m.attempts+1
	c.pending++
	p.actions = append(p.actions, Send{m.id, c.target.id, p.timeout(m, c.target), p.maxSendDelay(m)})
}

// timeout returns the timeout of the message's next attempt. A lost call ends a non-idempotent message, so
// its timeout is twice that of others and at least its soft deadline. After that an answer is unlikely and
// the slot is better used otherwise. A keyed message keeps time for a repeat within its deduplication window.
func (p *Policy) timeout(m *message, t *target) time.Duration {
	mean, deviation := p.expectedLatency(t.route)
	upperLatency := mean + 4*deviation // nearly all answers come within this time
	timeout := p.settings.ConnectTimeout + 2*upperLatency
	if m.class.Idempotency == NonIdempotent {
		timeout = max(2*timeout, m.class.SoftDeadline)
	} else if m.class.Idempotency == Keyed && !m.mayHaveRun && 2*upperLatency < m.class.DedupWindow {
		// A slower answer leaves no time for a repeat anyway.
		timeout = min(timeout, m.class.DedupWindow-upperLatency)
	}
	return max(min(timeout, m.deadline-p.now), 1)
}

// maxSendDelay returns how long the repeat of a keyed message may wait, for example for a connection, until
// it is sent.
func (p *Policy) maxSendDelay(m *message) time.Duration {
	if m.mayHaveRun && m.class.Idempotency == Keyed {
		return m.runAt + m.class.DedupWindow - p.settings.MinBatchInterval - p.settings.MaxSendJitter/2 - p.now
	}
	return 0
}

// endCall frees the call's slot and connection. With many forwarders, a connection that will probably time
// out before its next use is closed at once, because the idle connections of hundreds of forwarders would use
// up the connections of targets that accept few. Since new connections are expensive, this ends once no call
// has failed to connect for a while; few forwarders never do it. Connections to a kind whose destinations
// have rejected new connections are never left idle, because other forwarders wait for them.
func (p *Policy) endCall(c *call) {
	t := c.target
	t.dest.calls = removeElement(t.dest.calls, c)
	p.flows.EndCall(t.dest, (p.now - c.startedAt).Seconds(), p.now)
	t.inFlight--
	t.idleSince = p.now
	rarelyUsed := t.inFlight+len(t.dest.queue) == 0 && p.settings.Forwarders > p.settings.CallSlots &&
		p.now < p.connectionsScarceUntil && (t.sendInterval == 0 || t.sendInterval > p.settings.IdleTimeout)
	if rarelyUsed || p.connectionsLimited[t.dest.kindIndex] {
		p.closeIdleConnections(t)
	}
}

func (p *Policy) closeIdleConnections(t *target) {
	p.actions, t.idleSince = append(p.actions, CloseIdle{t.id}), 0
}

// connectionIdleTime returns how long the connection of the next call may have been idle. It first closes the
// idle connections if they have exceeded maxIdleTime, or if a call was just lost on one of them (see
// recordOutcome).
func (p *Policy) connectionIdleTime(t *target) time.Duration {
	idle := p.now - t.idleSince
	if t.idleSince == 0 || idle >= p.settings.IdleTimeout {
		return 0
	}
	if t.staleIdleTime > 0 || idle >= p.maxIdleTime {
		p.closeIdleConnections(t)
		return 0
	}
	return idle
}
