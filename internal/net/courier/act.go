package courier

// The module's actions, carried out once the journal has them.

import (
	"slices"
	"time"

	"raventrestle"
	"raventrestle/internal/deadletter/rule"
	"raventrestle/internal/journal"
	"raventrestle/internal/net/notice"
	"raventrestle/internal/net/peer"
)

// calls are the tries of one step, in calls.
type calls struct {
	to     *peer.Peer
	target raventrestle.TargetID
	tries  []peer.Try
	size   int // of its body, in frames
}

const (
	mostBody = 64 << 10 // of a call; more gets 413
	frame    = 16       // of a message in a call, beside its id, key and bytes
)

// effects are what the actions of one step come to, in their order.
type effects struct {
	at      time.Duration
	records []journal.Record
	calls   []*calls
	moot    []raventrestle.Outcome // of what has nowhere to go any more
	owed    []notice.Item          // ends to be told
}

// act carries the actions out in order; what they do waits until the journal has them.
func (c *Courier) act(actions []raventrestle.Action, records []journal.Record) {
	e := &effects{at: now(), records: records}
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
			c.group.Subscribe()
		case raventrestle.WakeAt:
			if c.wake == 0 || a.At < c.wake {
				c.wake = a.At
			}
		case raventrestle.Log:
			c.log.Info(a.Text)
		}
	}
	for _, it := range e.owed {
		delete(c.msgs, raventrestle.MessageID(it.ID))
		e.records = append(e.records, journal.Ended(it.ID, it.End))
	}
	for _, o := range e.moot {
		c.post(o)
	}
	if len(e.records) == 0 {
		return
	}
	answers := c.answers()
	then := func(err error) {
		c.ended(err, answers, e.owed)
		c.written(err, e.calls, e.owed)
	}
	if err := c.journal.Append(e.records, then); err != nil {
		then(err)
	}
}

// send notes a try, and adds it to a call to its target that has room for it, or to a new one.
func (c *Courier) send(e *effects, a raventrestle.Send) {
	m := c.msgs[a.ID]
	if m == nil {
		c.log.Error("courier: send of an unknown message", "id", a.ID)
		return
	}
	r := c.peers[a.Target]
	try := peer.Try{ID: m.ID, Key: m.Key, N: m.AttemptCount, Body: m.Body, Wait: a.Timeout, Until: time.Unix(0, m.ExpiresAt)}
	if a.MaxSendDelay > 0 {
		try.Before = time.Unix(0, int64(e.at+a.MaxSendDelay))
	}
	m.AttemptCount++
	m.out = true
	c.out++
	if r == nil || r.entry.Dest != raventrestle.DestID(m.Dest) {
		e.moot = append(e.moot, raventrestle.Outcome{ID: a.ID, Target: a.Target, Attempt: try.N, Status: raventrestle.NotSent})
		return
	}
	zone := ""
	if z := r.entry.Zone; z >= 0 {
		zone = c.conf.Settings.Zones[z].Name
	}
	begun := journal.Attempt{Peer: string(a.Target), Zone: zone, At: int64(e.at)}
	if c.deadLetters != nil {
		c.begin(m, begun)
	}
	e.records = append(e.records, journal.AttemptBegun(m.ID, begun))
	c.tries(m.ID, a.Target)
	e.add(r, a.Target, try, c.kind(r).MaxBatch)
}

// add puts a try into a call.
func (e *effects) add(r *ref, target raventrestle.TargetID, try peer.Try, most int) {
	size := len(try.ID) + len(try.Key) + len(try.Body) + frame
	i := slices.IndexFunc(e.calls, func(x *calls) bool {
		return x.to == r.Peer && len(x.tries) < most && x.size+size <= mostBody
	})
	if i < 0 {
		i, e.calls = len(e.calls), append(e.calls, &calls{to: r.Peer, target: target})
	}
	x := e.calls[i]
	x.tries, x.size = append(x.tries, try), x.size+size
}

// refuse ends a message that surely did not run, or leaves it to the dead letters or to the next process.
func (c *Courier) refuse(e *effects, a raventrestle.Refuse) {
	m := c.msgs[a.ID]
	end := journal.End{Deferred: true, RetryAfterMS: a.RetryAfter.Milliseconds()}
	switch {
	case m != nil && m.ResendNumber > 0:
		c.resent(m, "refused")
		return
	case c.passing && m == nil: // it was handed over in this step: the next process ends it
		return
	case m != nil && c.deadLetters != nil && rule.TooLateToResubmit(time.Duration(m.ExpiresAt)-e.at):
		c.undeliverable(m, e.at, end)
		return
	}
	c.Counts.Deferred.Add(1)
	if m != nil {
		c.counted(m.Message, false, true)
	}
	e.owed = append(e.owed, notice.Item{ID: string(a.ID), End: end})
}

// fail ends a message that may have run, or leaves it to the dead letters or to the next process.
func (c *Courier) fail(e *effects, a raventrestle.Fail) {
	m := c.msgs[a.ID]
	switch {
	case m != nil && m.ResendNumber > 0:
		c.resent(m, "failed")
		return
	case m != nil && c.deadLetters != nil:
		c.undeliverable(m, e.at, journal.End{})
		return
	case c.passing && m == nil:
		return
	}
	c.Counts.Undeliverable.Add(1)
	if m != nil {
		c.counted(m.Message, false, false)
	}
	e.owed = append(e.owed, notice.Item{ID: string(a.ID)})
}

// written goes on with a step once the journal has it. What it could not write is not sent;
// an ending is told all the same.
func (c *Courier) written(err error, out []*calls, owed []notice.Item) {
	if err != nil {
		c.log.Error("courier: journal", "err", err)
	}
	c.writes(err)
	for _, x := range out {
		if err == nil && x.to.Call(x.tries) {
			continue
		}
		for _, t := range x.tries {
			c.post(raventrestle.Outcome{
				ID: raventrestle.MessageID(t.ID), Target: x.target, Attempt: t.N,
				Status: raventrestle.NotSent,
			})
		}
	}
	for _, it := range owed {
		if !c.notices.Add(it) { // the journal owes it still
			c.log.Error("courier: no room for a notice", "id", it.ID)
		}
	}
}
