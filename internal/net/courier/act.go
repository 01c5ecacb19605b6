package courier

// Carries out the actions of the policy, after the journal has recorded them.

import (
	"slices"
	"time"

	"raventrestle"
	"raventrestle/internal/deadletter/rule"
	"raventrestle/internal/journal"
	"raventrestle/internal/net/notify"
	"raventrestle/internal/net/peer"
)

// pendingCall is a call to one peer that is assembled from the attempts of one step.
type pendingCall struct {
	peer     *peer.Peer
	target   raventrestle.TargetID
	attempts []peer.Attempt
	size     int // estimated size of the body in bytes
}

const (
	maxCallBody     = 64 << 10 // bytes of a call's body; the endpoint answers a larger one with 413
	messageOverhead = 16       // bytes per message in a call, besides its id, key and body
)

// stepEffects collects the effects of the actions of one step, in order.
type stepEffects struct {
	at      time.Duration
	records []journal.Record
	calls   []*pendingCall
	notSent []raventrestle.Outcome // outcomes of attempts whose target is no longer listed for the destination
	endings []notify.Notification  // messages that ended in this step; the platform has to be notified
}

// applyActions carries out the actions in order. Calls and notifications start only after the journal write.
func (c *Courier) applyActions(actions []raventrestle.Action, records []journal.Record) {
	e := &stepEffects{at: now(), records: records}
	for _, a := range actions {
		switch a := a.(type) {
		case raventrestle.Send:
			c.send(e, a)
		case raventrestle.Refuse:
			c.refuse(e, a)
		case raventrestle.Fail:
			c.fail(e, a)
		case raventrestle.CloseIdle:
			if r := c.peers[a.Target]; r != nil {
				r.CloseIdle()
			}
		case raventrestle.Cancel:
			for _, r := range c.peers {
				r.Cancel(string(a.ID))
			}
		case raventrestle.Subscribe:
			c.watcher.Subscribe()
		case raventrestle.WakeAt:
			if c.wakeAt == 0 || a.At < c.wakeAt {
				c.wakeAt = a.At
			}
		case raventrestle.Log:
			c.log.Info(a.Text)
		}
	}
	for _, it := range e.endings {
		delete(c.msgs, raventrestle.MessageID(it.ID))
		e.records = append(e.records, journal.Ended(it.ID, it.End))
	}
	for _, o := range e.notSent {
		c.post(o)
	}
	if len(e.records) == 0 {
		return
	}
	finalAnswers := c.takePendingEndings()
	done := func(err error) {
		c.recordEndings(err, finalAnswers, e.endings)
		c.afterJournalWrite(err, e.calls, e.endings)
	}
	if err := c.journal.Append(e.records, done); err != nil {
		done(err)
	}
}

// send records an attempt and adds it to a call to its target that has room for it, or to a new call.
func (c *Courier) send(e *stepEffects, a raventrestle.Send) {
	m := c.msgs[a.ID]
	if m == nil {
		c.log.Error("courier: the policy sent an unknown message", "id", a.ID)
		return
	}
	r := c.peers[a.Target]
	attempt := peer.Attempt{ID: m.ID, Key: m.Key, Index: m.AttemptCount, Body: m.Body, Timeout: a.Timeout, Deadline: time.Unix(0, m.ExpiresAt)}
	if a.MaxSendDelay > 0 {
		attempt.SendBy = time.Unix(0, int64(e.at+a.MaxSendDelay))
	}
	m.AttemptCount++
	m.inFlight = true
	c.inFlight++
	if r == nil || r.entry.Dest != raventrestle.DestID(m.Dest) {
		e.notSent = append(e.notSent, raventrestle.Outcome{ID: a.ID, Target: a.Target, Attempt: attempt.Index, Status: raventrestle.NotSent})
		return
	}
	zone := ""
	if z := r.entry.Zone; z >= 0 {
		zone = c.conf.Settings.Zones[z].Name
	}
	started := journal.Attempt{Peer: string(a.Target), Zone: zone, At: int64(e.at)}
	if c.deadLetters != nil {
		c.attemptStarted(m, started)
	}
	e.records = append(e.records, journal.AttemptBegun(m.ID, started))
	c.recordAttempt(m.ID, a.Target)
	e.add(r, a.Target, attempt, c.destinationKind(r).MaxBatch)
}

// add puts an attempt into a call to its target, a new one if no call has room.
func (e *stepEffects) add(r *listedPeer, target raventrestle.TargetID, attempt peer.Attempt, maxBatch int) {
	size := len(attempt.ID) + len(attempt.Key) + len(attempt.Body) + messageOverhead
	i := slices.IndexFunc(e.calls, func(call *pendingCall) bool {
		return call.peer == r.Peer && len(call.attempts) < maxBatch && call.size+size <= maxCallBody
	})
	if i < 0 {
		i, e.calls = len(e.calls), append(e.calls, &pendingCall{peer: r.Peer, target: target})
	}
	call := e.calls[i]
	call.attempts, call.size = append(call.attempts, attempt), call.size+size
}

// refuse ends a message that certainly did not run. It does not end a message that the next process takes over, and leaves
// resends and messages for the dead letters to finishResend and giveUp.
func (c *Courier) refuse(e *stepEffects, a raventrestle.Refuse) {
	m := c.msgs[a.ID]
	end := journal.End{Deferred: true, RetryAfterMS: a.RetryAfter.Milliseconds()}
	switch {
	case m != nil && m.ResendNumber > 0:
		c.finishResend(m, "refused")
		return
	case c.handingOver && m == nil: // handed over in this step: the next process ends it
		return
	case m != nil && c.deadLetters != nil && rule.TooLateToResubmit(time.Duration(m.ExpiresAt)-e.at):
		c.giveUp(m, e.at, end)
		return
	}
	c.Counts.Deferred.Add(1)
	if m != nil {
		c.countEnding(m.Message, false, true)
	}
	e.endings = append(e.endings, notify.Notification{ID: string(a.ID), End: end})
}

// fail ends a message that may have run. It does not end a message that the next process takes over, and leaves resends and
// messages for the dead letters to finishResend and giveUp.
func (c *Courier) fail(e *stepEffects, a raventrestle.Fail) {
	m := c.msgs[a.ID]
	switch {
	case m != nil && m.ResendNumber > 0:
		c.finishResend(m, "failed")
		return
	case m != nil && c.deadLetters != nil:
		c.giveUp(m, e.at, journal.End{})
		return
	case c.handingOver && m == nil:
		return
	}
	c.Counts.Undeliverable.Add(1)
	if m != nil {
		c.countEnding(m.Message, false, false)
	}
	e.endings = append(e.endings, notify.Notification{ID: string(a.ID)})
}

// afterJournalWrite starts the calls and notifications of a step after its journal write. If the write failed, the calls
// are not made, but the platform is still notified of messages that ended.
func (c *Courier) afterJournalWrite(err error, calls []*pendingCall, endings []notify.Notification) {
	if err != nil {
		c.log.Error("courier: journal", "err", err)
	}
	c.noteWriteResult(err)
	for _, call := range calls {
		if err == nil && call.peer.Call(call.attempts) {
			continue
		}
		for _, attempt := range call.attempts {
			c.post(raventrestle.Outcome{
				ID: raventrestle.MessageID(attempt.ID), Target: call.target, Attempt: attempt.Index,
				Status: raventrestle.NotSent,
			})
		}
	}
	for _, it := range endings {
		if !c.notifier.Add(it) { // the journal still records that the notification is due
			c.log.Error("courier: notification queue is full", "id", it.ID)
		}
	}
}
