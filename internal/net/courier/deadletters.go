package courier

import (
	"time"

	"raventrestle"
	"raventrestle/internal/deadletter"
	"raventrestle/internal/deadletter/rule"
	"raventrestle/internal/journal"
	"raventrestle/internal/net/notify"
)

// UseDeadLetters makes the courier keep undeliverable messages as dead letters. Call it before Run.
func (c *Courier) UseDeadLetters(k *deadletter.Manager) { c.deadLetters = k }

// Resend accepts a dead letter for another delivery. The journal already has it. Resend does not block; it returns false
// if the mailbox is full.
func (c *Courier) Resend(a deadletter.ResendRequest) bool {
	c.mu.Lock()
	c.resendIDs[a.ID] = true
	c.mu.Unlock()
	select {
	case c.mailbox <- a:
		return true
	default:
		c.forget(a.ID)
		return false
	}
}

// attemptStarted notes an attempt in the message's progress, which its dead letter will contain.
func (c *Courier) attemptStarted(m *message, t journal.Attempt) {
	c.moveToPast(m, "")
	m.InFlight = &t
}

// attemptEnded notes how the attempt in flight ended, for the dead-letter keeper's view of the destination and for the
// message's own dead letter.
func (c *Courier) attemptEnded(m *message, o raventrestle.Outcome, statusName string) {
	if o.Status != raventrestle.NotSent && o.Status != raventrestle.Canceled {
		c.endedCalls = append(c.endedCalls, deadletter.CallEnd{Dest: destOf(m, c.peers[o.Target]), Delivered: o.Status == raventrestle.OK})
	}
	if m != nil {
		c.moveToPast(m, statusName)
	}
}

func destOf(m *message, r *listedPeer) int64 {
	if m != nil {
		return m.Dest
	}
	if r != nil {
		return int64(r.entry.Dest)
	}
	return -1
}

// maxPastAttempts bounds the ended attempts that are kept per message.
const maxPastAttempts = 16

// moveToPast moves the attempt in flight to the ended ones. The first attempt that may have run is kept in m.Ran, also
// when the list is full.
func (c *Courier) moveToPast(m *message, outcome string) {
	if m.InFlight == nil {
		return
	}
	t := deadletter.Attempt{Outcome: outcome}
	if m.FirstRun == nil && t.MayHaveRun() {
		m.FirstRun = m.InFlight
	}
	if len(m.Completed) < maxPastAttempts {
		m.Completed = append(m.Completed, journal.CompletedAttempt{Attempt: *m.InFlight, Outcome: outcome})
	}
	m.InFlight = nil
}

// giveUp writes the dead letter of an undeliverable message, then its end, and then notifies the platform, in that order.
// If the dead letter can't be written, the notification carries the end that the policy decided.
func (c *Courier) giveUp(m *message, t time.Duration, end journal.End) {
	delete(c.msgs, raventrestle.MessageID(m.ID))
	class := raventrestle.Class{Name: m.Class, Idempotency: raventrestle.NonIdempotent}
	if i, known := c.conf.Names.Classes[m.Class]; known {
		class = c.conf.Settings.Classes[i]
	}
	l := deadletter.NewMessage(journal.MessageState{Message: m.Message, Progress: m.Progress}, class, c.giveUpReason(m, class, t), time.Unix(0, int64(t)))
	it := notify.Notification{ID: m.ID}
	c.deadLetters.Add(l, end.Deferred, func(err error) { // the keeper has counted and logged a failed write
		if err != nil {
			it.End = end
		}
		c.countEnding(m.Message, false, it.Deferred)
		if it.Deferred {
			c.Counts.Deferred.Add(1)
		} else {
			c.Counts.Undeliverable.Add(1)
		}
		done := func(err error) {
			c.recordEndings(err, nil, []notify.Notification{it})
			c.afterJournalWrite(err, nil, []notify.Notification{it})
		}
		if err := c.journal.Append([]journal.Record{journal.Ended(it.ID, it.End)}, done); err != nil {
			done(err)
		}
	})
}

// giveUpReason describes for operators why the message was given up.
func (c *Courier) giveUpReason(m *message, class raventrestle.Class, t time.Duration) string {
	maxAttempts := c.conf.Settings.MaxAttempts
	switch {
	case m.FirstRun != nil && class.Idempotency == raventrestle.NonIdempotent:
		return "may have run"
	case maxAttempts > 0 && m.AttemptCount >= maxAttempts:
		return "all tries used"
	case m.AttemptCount == 0 && c.countPeers(m.Dest) == 0:
		return "no endpoint listed"
	case int64(t) >= m.ExpiresAt-int64(time.Second):
		return "out of time"
	}
	return "given up"
}

func (c *Courier) countPeers(dest int64) (n int) {
	for _, r := range c.peers {
		if int64(r.entry.Dest) == dest {
			n++
		}
	}
	return n
}

// startResend passes a dead letter to the policy as a message of this process. If fresh messages would have to wait for
// it, also those that arrive in the same step, it is returned to the dead letters unsent.
func (c *Courier) startResend(a deadletter.ResendRequest, t time.Duration, fresh arrivals) raventrestle.Event {
	m := &message{Message: a.Message}
	if a.MayHaveRun {
		m.PriorRun, m.FirstRun = &a.FirstRun, &a.FirstRun
	}
	c.msgs[raventrestle.MessageID(m.ID)] = m
	c.activeResends++
	load := c.load()
	if c.closing || c.deadLetters == nil || load.Held > load.MaxHeld*3/4 || c.waitingByDest()[m.Dest] > 0 || fresh.byDest[m.Dest] {
		c.finishResend(m, "yielded")
		return nil
	}
	e := c.arrivalEvent(arrival{Message: a.Message}, t)
	if !a.MayHaveRun {
		return e
	}
	return raventrestle.Restored{
		Arrival: e, MayHaveRun: true, RunTarget: raventrestle.TargetID(a.FirstRun.Peer),
		RunZone: c.zoneIndex(a.FirstRun.Zone), RunAt: time.Duration(a.FirstRun.At),
	}
}

func (c *Courier) zoneIndex(name string) int {
	if i, ok := c.conf.Names.Zones[name]; ok {
		return i
	}
	return -1
}

// finishResend writes the result of a resend into its dead letter and then ends it in the journal. If the dead letter
// can't be written, the journal entry stays until the next start.
func (c *Courier) finishResend(m *message, result string) {
	delete(c.msgs, raventrestle.MessageID(m.ID))
	c.activeResends--
	if c.deadLetters == nil {
		return
	}
	id := m.ID
	c.deadLetters.Finish(deadletter.ResendResult{ID: id, Dest: m.Dest, Result: result, Attempts: deadletter.AttemptsFrom(m.Progress)}, func(err error) {
		if err != nil {
			return
		}
		c.deadLetterEnded(id, result)
		c.recordEnd(id)
		c.post(checkDrainedMsg{})
	})
}

// arrivals are the fresh messages among those of a step.
type arrivals struct {
	byDest map[int64]bool
	count  int
}

// freshArrivals returns the fresh messages that are queued for a step; none where there can be no resends.
func (c *Courier) freshArrivals(queued []any) arrivals {
	if c.deadLetters == nil {
		return arrivals{}
	}
	fresh := arrivals{byDest: map[int64]bool{}}
	for _, m := range queued {
		if a, isArrival := m.(arrival); isArrival {
			fresh.byDest[a.Dest] = true
			fresh.count++
		}
	}
	return fresh
}

// yieldResends withdraws waiting resends from the policy if fresh messages arrive for their destination, or if their
// space is needed for fresh messages.
func (c *Courier) yieldResends(fresh arrivals) (events []raventrestle.Event) {
	if c.activeResends == 0 {
		return nil
	}
	load := c.load()
	load.Held += fresh.count
	excess := rule.Limits{}.ResendsToYield(load)
	for id, m := range c.msgs {
		if m.ResendNumber == 0 || m.inFlight || !fresh.byDest[m.Dest] && excess <= 0 {
			continue
		}
		excess--
		events = append(events, raventrestle.Withdrawn{ID: id})
		c.finishResend(m, "yielded")
	}
	return events
}

func (c *Courier) load() rule.Load {
	return rule.Load{
		Slots: c.conf.Settings.CallSlots, InFlight: c.inFlight, MaxHeld: c.conf.Settings.MaxMessages,
		Held: len(c.msgs), Resends: c.activeResends,
	}
}

// waitingByDest counts, by destination, the fresh messages that have no attempt in flight.
func (c *Courier) waitingByDest() map[int64]int {
	n := map[int64]int{}
	for _, m := range c.msgs {
		if m.ResendNumber == 0 && !m.inFlight {
			n[m.Dest]++
		}
	}
	return n
}

// viewInterval is the minimum interval between two views of the load for the dead-letter keeper.
const viewInterval = 20 * time.Millisecond

// sendView tells the dead-letter keeper how calls ended, and the present load.
func (c *Courier) sendView() {
	if c.deadLetters == nil {
		return
	}
	c.deadLetters.RecordCalls(c.endedCalls)
	c.endedCalls = nil
	if time.Since(c.viewSentAt) < viewInterval {
		return
	}
	c.viewSentAt = time.Now()
	v := &deadletter.CourierState{Load: c.load(), Waiting: c.waitingByDest(), Endpoints: map[int64][]rule.Endpoint{}}
	if c.closing { // no resend may start any more
		v.Slots, v.MaxHeld = 0, 0
	}
	for _, r := range c.peers {
		if r.entry.State != raventrestle.Ready {
			continue
		}
		zone := ""
		if z := r.entry.Zone; z >= 0 {
			zone = c.conf.Settings.Zones[z].Name
		}
		v.Endpoints[int64(r.entry.Dest)] = append(v.Endpoints[int64(r.entry.Dest)], rule.Endpoint{Peer: string(r.entry.Target), Zone: zone})
	}
	c.deadLetters.SetCourierState(v)
}
