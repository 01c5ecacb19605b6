package simulation

import (
	"cmp"
	"slices"
	"time"

	"raventrestle"
	"raventrestle/internal/emulator/model"
)

// networkDelay returns the delay from the courier to the endpoint, in one direction.
func (c *courier) networkDelay(e *endpoint) time.Duration {
	if c.world.HomeFloor(c.index) == e.Floor {
		return c.world.delays.NetworkDelay
	}
	return c.world.delays.NetworkDelay + c.world.FloorDelay
}

// closeIdleConnections closes connections that have been idle for at least the given time.
func (e *endpoint) closeIdleConnections(now time.Time, idle time.Duration) {
	for _, p := range e.pools {
		n := len(p.lastUsed)
		p.lastUsed = slices.DeleteFunc(p.lastUsed, func(t time.Time) bool { return now.Sub(t) >= idle })
		e.openConnections -= n - len(p.lastUsed)
	}
}

// sendCall sends the call on an idle connection or, if there is none, on a new one.
func (c *courier) sendCall(call *call) {
	w, target, incarnation := c.world, call.endpoint, c.incarnation
	call.startedAt = w.now
	timeout := time.Duration(0)
	for _, send := range call.sends {
		timeout = max(timeout, send.Timeout)
	}
	target.closeIdleConnections(w.now, c.settings.IdleTimeout)
	transit := c.networkDelay(target)
	pool := target.pools[c.index]
	switch n := len(pool.lastUsed); {
	case n > 0:
		pool.lastUsed = pool.lastUsed[:n-1]
		call.connected = true
	case target.maxConnections(w) > 0 && target.openConnections >= target.maxConnections(w): // rejected before the call is read
		w.scheduleAfter(2*transit, func() {
			if c.incarnation == incarnation {
				c.respond(call, raventrestle.Outcome{Status: raventrestle.Rejected})
			}
		})
		return
	default:
		target.openConnections++
		call.connected = true
		transit *= 2
	}
	w.scheduleAfter(timeout, func() {
		if c.incarnation == incarnation && len(call.pending) > 0 {
			c.failCall(call, raventrestle.TimedOut)
		}
	})
	for _, send := range call.sends { // in a batch, a send times out at its message's deadline while the call continues
		if record := c.journal[string(send.ID)]; record != nil && len(call.sends) > 1 && record.msg.Deadline.Before(w.now.Add(timeout)) {
			w.schedule(record.msg.Deadline, func() {
				if c.incarnation == incarnation && call.pending[send.ID] {
					c.recordOutcome(call, send, raventrestle.Outcome{Status: raventrestle.TimedOut})
				}
			})
		}
	}
	w.scheduleAfter(transit, func() {
		if !call.finished {
			c.receiveCall(call, incarnation)
		}
	})
}

func (e *endpoint) maxConnections(w *world) int { return w.channels[e.dest].Connections }

// receiveCall handles the arrival of the call at the endpoint.
func (c *courier) receiveCall(call *call, incarnation int) {
	w, target := c.world, call.endpoint
	transit := c.networkDelay(target)
	if target.Mode() == model.ModeResetDuringCall {
		c.finishCall(call, 0)
		w.scheduleAfter(transit, func() {
			if c.incarnation == incarnation {
				c.failCall(call, raventrestle.Reset)
			}
		})
		return
	}
	codes := make([]int, len(call.sends))
	parts := make([]model.Message, len(call.sends))
	for i, send := range call.sends {
		id := string(send.ID)
		number, code, resend := w.ledger.BeginCall(id, target.dest, target.Name, target.Floor, c.index, w.now)
		codes[i], call.ledgerNumbers[send.ID] = code, number
		parts[i] = model.Message{Rejected: code != 0, Resend: resend, Key: id}
		if m, _ := w.ledger.MessageOf(id); m != nil {
			parts[i].Class, parts[i].EffectLimit, parts[i].Key = m.Class, m.EffectLimit, m.Key
		}
	}
	result, violations := target.Call(c.index, parts, w.now, w.now)
	w.ledger.AddViolations(violations, string(call.sends[0].ID))
	report := raventrestle.LimitReport{Remaining: result.Report.UnusedShare, Limit: result.Report.Limit}
	returnToCourier := func(action func()) {
		w.scheduleAfter(transit, func() {
			if c.incarnation == incarnation {
				action()
			}
		})
	}
	if result.RejectCode != 0 {
		c.finishCall(call, result.RejectCode)
		returnToCourier(func() {
			c.respond(call, raventrestle.Outcome{Status: raventrestle.Rejected, RetryAfter: result.RetryAfter, Report: report})
		})
		return
	}
	w.schedule(result.EndsAt, func() {
		if result.TakesEffect {
			for i, send := range call.sends {
				if codes[i] == 0 {
					w.ledger.RecordEffect(string(send.ID), target.Name, target.Floor, result.Duplicate[i], w.now)
				}
			}
		}
		if call.finished || result.Outcome == model.OutcomeNoResponse {
			return
		}
		switch result.Outcome {
		case model.OutcomeReset, model.OutcomeMalformed:
			c.finishCall(call, 0)
			returnToCourier(func() { c.failCall(call, raventrestle.Reset) })
		case model.OutcomeError:
			c.finishCall(call, 500)
			returnToCourier(func() { c.respond(call, raventrestle.Outcome{Status: raventrestle.Error, Report: report}) })
		default:
			for i, send := range call.sends {
				w.ledger.EndCall(string(send.ID), call.ledgerNumbers[send.ID], cmp.Or(codes[i], 200), w.now)
			}
			call.finished = true
			returnToCourier(func() {
				for i, send := range call.sends {
					outcome := raventrestle.Outcome{Status: raventrestle.OK, Final: true, Report: report}
					if codes[i] != 0 {
						outcome.Status = raventrestle.NotSent
						outcome.Final = codes[i] == 410
					}
					if call.pending[send.ID] {
						c.recordOutcome(call, send, outcome)
					}
				}
				c.releaseConnection(call, true)
			})
		}
	})
}

// finishCall records in the ledger with which code the call ended at the endpoint; 0 if there was no response.
func (c *courier) finishCall(call *call, code int) {
	if call.finished {
		return
	}
	call.finished = true
	for _, send := range call.sends {
		if number, arrived := call.ledgerNumbers[send.ID]; arrived {
			c.world.ledger.EndCall(string(send.ID), number, code, c.world.now)
		}
	}
}

// respond ends the call with the same outcome for all of its sends.
func (c *courier) respond(call *call, outcome raventrestle.Outcome) {
	for _, send := range call.sends {
		if call.pending[send.ID] {
			c.recordOutcome(call, send, outcome)
		}
	}
	c.releaseConnection(call, call.connected)
}

// failCall ends the call without a response and closes its connection.
func (c *courier) failCall(call *call, status raventrestle.Status) {
	c.finishCall(call, 0)
	for _, send := range call.sends {
		if call.pending[send.ID] {
			c.recordOutcome(call, send, raventrestle.Outcome{Status: status})
		}
	}
	c.releaseConnection(call, false)
}

// abortCall ends the call because the courier's process has ended.
func (c *courier) abortCall(call *call) {
	c.finishCall(call, 0)
	clear(call.pending)
	if call.connected {
		call.endpoint.openConnections--
		call.connected = false
	}
}

// releaseConnection removes the call from those in progress and returns its connection to the pool, or closes it.
func (c *courier) releaseConnection(call *call, keep bool) {
	if i := slices.Index(c.calls, call); i >= 0 {
		c.calls = slices.Delete(c.calls, i, i+1)
	}
	if !call.connected {
		return
	}
	call.connected = false
	if keep {
		call.endpoint.pools[c.index].lastUsed = append(call.endpoint.pools[c.index].lastUsed, c.world.now)
	} else {
		call.endpoint.openConnections--
	}
}

// recordOutcome records the outcome of a send in the journal and passes it to the module.
func (c *courier) recordOutcome(call *call, send raventrestle.Send, outcome raventrestle.Outcome) {
	delete(call.pending, send.ID)
	outcome.ID, outcome.Target, outcome.Attempt, outcome.Duration = send.ID, send.Target, call.attemptNumbers[send.ID], c.world.now.Sub(call.startedAt)
	if record := c.journal[string(send.ID)]; record != nil {
		switch {
		case outcome.Final:
			c.removeRecord(record.id)
		case outcome.Status != raventrestle.Rejected && outcome.Status != raventrestle.ConnectFailed && outcome.Status != raventrestle.NotSent && record.mayHaveRun == nil:
			record.mayHaveRun = record.pending
		}
		record.pending = nil
	}
	c.post(outcome)
}
