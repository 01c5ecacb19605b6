package virtual

import (
	"cmp"
	"slices"
	"time"

	"raventrestle"
	"raventrestle/internal/emulator/model"
)

// delay is one way between the courier and the endpoint.
func (c *courier) delay(e *endpoint) time.Duration {
	if c.w.HomeFloor(c.n) == e.Floor {
		return c.w.costs.Hop
	}
	return c.w.costs.Hop + c.w.FloorDelay
}

// prune ends connections that have been idle for too long.
func (e *endpoint) prune(now time.Time, idle time.Duration) {
	for _, p := range e.pools {
		n := len(p.idle)
		p.idle = slices.DeleteFunc(p.idle, func(t time.Time) bool { return now.Sub(t) >= idle })
		e.conns -= n - len(p.idle)
	}
}

// dial gets the call a connection, an idle one if there is one, and sends it.
func (c *courier) dial(x *call) {
	w, e, life := c.w, x.to, c.life
	x.began = w.now
	wait := time.Duration(0)
	for _, t := range x.tries {
		wait = max(wait, t.Timeout)
	}
	e.prune(w.now, c.set.IdleTimeout)
	way := c.delay(e)
	p := e.pools[c.n]
	switch n := len(p.idle); {
	case n > 0:
		p.idle = p.idle[:n-1]
		x.conn = true
	case e.channelConnections(w) > 0 && e.conns >= e.channelConnections(w): // turned away before the call is read
		w.after(2*way, func() {
			if c.life == life {
				c.answer(x, raventrestle.Outcome{Status: raventrestle.Rejected})
			}
		})
		return
	default:
		e.conns++
		x.conn = true
		way *= 2
	}
	w.after(wait, func() {
		if c.life == life && len(x.open) > 0 {
			c.fail(x, raventrestle.TimedOut)
		}
	})
	for _, t := range x.tries { // a mate whose own time is up ends while the call goes on
		if r := c.journal[string(t.ID)]; r != nil && len(x.tries) > 1 && r.msg.Deadline.Before(w.now.Add(wait)) {
			w.at(r.msg.Deadline, func() {
				if c.life == life && x.open[t.ID] {
					c.outcome(x, t, raventrestle.Outcome{Status: raventrestle.TimedOut})
				}
			})
		}
	}
	w.after(way, func() {
		if !x.answered {
			c.arrive(x, life)
		}
	})
}

func (e *endpoint) channelConnections(w *world) int { return w.channels[e.dest].Connections }

// arrive is the call's coming at the endpoint.
func (c *courier) arrive(x *call, life int) {
	w, e := c.w, x.to
	way := c.delay(e)
	if e.Mode() == model.ModeResetDuringCall {
		c.end(x, 0)
		w.after(way, func() {
			if c.life == life {
				c.fail(x, raventrestle.Reset)
			}
		})
		return
	}
	codes := make([]int, len(x.tries))
	parts := make([]model.Message, len(x.tries))
	for i, t := range x.tries {
		id := string(t.ID)
		number, code, resend := w.ledger.BeginCall(id, e.dest, e.Name, e.Floor, c.n, w.now)
		codes[i], x.arrived[t.ID] = code, number
		parts[i] = model.Message{Rejected: code != 0, Resend: resend, Key: id}
		if m, _ := w.ledger.MessageOf(id); m != nil {
			parts[i].Class, parts[i].EffectLimit, parts[i].Key = m.Class, m.EffectLimit, m.Key
		}
	}
	fate, broken := e.Call(c.n, parts, w.now, w.now)
	w.ledger.AddViolations(broken, string(x.tries[0].ID))
	told := raventrestle.LimitReport{Remaining: fate.Report.UnusedShare, Limit: fate.Report.Limit}
	reach := func(then func()) {
		w.after(way, func() {
			if c.life == life {
				then()
			}
		})
	}
	if fate.RejectCode != 0 {
		c.end(x, fate.RejectCode)
		reach(func() {
			c.answer(x, raventrestle.Outcome{Status: raventrestle.Rejected, RetryAfter: fate.RetryAfter, Report: told})
		})
		return
	}
	w.at(fate.EndsAt, func() {
		if fate.TakesEffect {
			for i, t := range x.tries {
				if codes[i] == 0 {
					w.ledger.RecordEffect(string(t.ID), e.Name, e.Floor, fate.Duplicate[i], w.now)
				}
			}
		}
		if x.answered || fate.Outcome == model.OutcomeNoResponse {
			return
		}
		switch fate.Outcome {
		case model.OutcomeReset, model.OutcomeMalformed:
			c.end(x, 0)
			reach(func() { c.fail(x, raventrestle.Reset) })
		case model.OutcomeError:
			c.end(x, 500)
			reach(func() { c.answer(x, raventrestle.Outcome{Status: raventrestle.Error, Report: told}) })
		default:
			for i, t := range x.tries {
				w.ledger.EndCall(string(t.ID), x.arrived[t.ID], cmp.Or(codes[i], 200), w.now)
			}
			x.answered = true
			reach(func() {
				for i, t := range x.tries {
					o := raventrestle.Outcome{Status: raventrestle.OK, Final: true, Report: told}
					if codes[i] != 0 {
						o.Status = raventrestle.NotSent
						o.Final = codes[i] == 410
					}
					if x.open[t.ID] {
						c.outcome(x, t, o)
					}
				}
				c.release(x, true)
			})
		}
	})
}

// end says in the ledger how the call ends at the endpoint.
func (c *courier) end(x *call, code int) {
	if x.answered {
		return
	}
	x.answered = true
	for _, t := range x.tries {
		if n, come := x.arrived[t.ID]; come {
			c.w.ledger.EndCall(string(t.ID), n, code, c.w.now)
		}
	}
}

// answer ends the call with one answer for all its tries.
func (c *courier) answer(x *call, o raventrestle.Outcome) {
	for _, t := range x.tries {
		if x.open[t.ID] {
			c.outcome(x, t, o)
		}
	}
	c.release(x, x.conn)
}

// fail ends the call without an answer: its connection goes.
func (c *courier) fail(x *call, s raventrestle.Status) {
	c.end(x, 0)
	for _, t := range x.tries {
		if x.open[t.ID] {
			c.outcome(x, t, raventrestle.Outcome{Status: s})
		}
	}
	c.release(x, false)
}

// hangUp ends the call with the courier's process.
func (c *courier) hangUp(x *call) {
	c.end(x, 0)
	clear(x.open)
	if x.conn {
		x.to.conns--
		x.conn = false
	}
}

// release gives the call's connection back, or ends it.
func (c *courier) release(x *call, keep bool) {
	if i := slices.Index(c.out, x); i >= 0 {
		c.out = slices.Delete(c.out, i, i+1)
	}
	if !x.conn {
		return
	}
	x.conn = false
	if keep {
		x.to.pools[c.n].idle = append(x.to.pools[c.n].idle, c.w.now)
	} else {
		x.to.conns--
	}
}

// outcome notes how a try ended, and tells the module.
func (c *courier) outcome(x *call, t raventrestle.Send, o raventrestle.Outcome) {
	delete(x.open, t.ID)
	o.ID, o.Target, o.Attempt, o.Duration = t.ID, t.Target, x.numbers[t.ID], c.w.now.Sub(x.began)
	if r := c.journal[string(t.ID)]; r != nil {
		switch {
		case o.Final:
			c.forget(r.id)
		case o.Status != raventrestle.Rejected && o.Status != raventrestle.ConnectFailed && o.Status != raventrestle.NotSent && r.ran == nil:
			r.ran = r.out
		}
		r.out = nil
	}
	c.post(o)
}
