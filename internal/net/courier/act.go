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

// act carries the actions out in order; what they do waits until the journal has them.
func (c *Courier) act(actions []raventrestle.Action, records []journal.Record) {
	var out []*calls
	var moot []raventrestle.Outcome
	var owed []notice.Item
	t := now()
	for _, a := range actions {
		switch a := a.(type) {
		case raventrestle.Send:
			m := c.msgs[a.ID]
			if m == nil {
				c.log.Error("courier: send of an unknown message", "id", a.ID)
				continue
			}
			r := c.peers[a.Target]
			try := peer.Try{ID: m.ID, Key: m.Key, N: m.Tries, Body: m.Body, Wait: a.Timeout,
				Until: time.Unix(0, m.Until)}
			if a.Within > 0 {
				try.Before = time.Unix(0, int64(t+a.Within))
			}
			m.Tries++
			m.out = true
			c.out++
			if r == nil || r.entry.Dest != raventrestle.DestID(m.Dest) {
				moot = append(moot, raventrestle.Outcome{ID: a.ID, Target: a.Target, Try: try.N, Status: raventrestle.Moot})
				continue
			}
			zone := ""
			if z := r.entry.Zone; z >= 0 {
				zone = c.conf.Settings.Zones[z].Name
			}
			begun := journal.Try{Peer: string(a.Target), Zone: zone, At: int64(t)}
			if c.deadLetters != nil {
				c.begin(m, begun)
			}
			records = append(records, journal.Begun(m.ID, begun))
			c.tries(m.ID, a.Target)
			size := len(m.ID) + len(m.Key) + len(m.Body) + frame
			i := slices.IndexFunc(out, func(x *calls) bool {
				return x.to == r.Peer && len(x.tries) < c.kind(r).BundleMax && x.size+size <= mostBody
			})
			if i < 0 {
				i, out = len(out), append(out, &calls{to: r.Peer, target: a.Target})
			}
			out[i].tries, out[i].size = append(out[i].tries, try), out[i].size+size
		case raventrestle.Refuse:
			if m := c.msgs[a.ID]; m != nil && m.Resend > 0 {
				c.resent(m, "refused")
				continue
			}
			if c.passing && c.msgs[a.ID] == nil { // it was handed over in this step: the next process ends it
				continue
			}
			end := journal.End{Deferred: true, AgainMS: a.After.Milliseconds()}
			if m := c.msgs[a.ID]; m != nil && c.deadLetters != nil && rule.Lost(time.Duration(m.Until)-t) {
				c.undeliverable(m, t, end)
				continue
			}
			c.Counts.Deferred.Add(1)
			if m := c.msgs[a.ID]; m != nil {
				c.counted(m.Message, false, true)
			}
			owed = append(owed, notice.Item{ID: string(a.ID), End: end})
		case raventrestle.Fail:
			m := c.msgs[a.ID]
			if m != nil && m.Resend > 0 {
				c.resent(m, "failed")
				continue
			}
			if m != nil && c.deadLetters != nil {
				c.undeliverable(m, t, journal.End{})
				continue
			}
			if c.passing && m == nil {
				continue
			}
			c.Counts.Undeliverable.Add(1)
			if m != nil {
				c.counted(m.Message, false, false)
			}
			owed = append(owed, notice.Item{ID: string(a.ID)})
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
	for _, it := range owed {
		delete(c.msgs, raventrestle.MessageID(it.ID))
		records = append(records, journal.Ended(it.ID, it.End))
	}
	for _, o := range moot {
		c.post(o)
	}
	if len(records) == 0 {
		return
	}
	answers := c.answers()
	then := func(err error) {
		c.ended(err, answers, owed)
		c.written(err, out, owed)
	}
	if err := c.journal.Append(records, then); err != nil {
		then(err)
	}
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
			c.post(raventrestle.Outcome{ID: raventrestle.MessageID(t.ID), Target: x.target, Try: t.N,
				Status: raventrestle.Moot})
		}
	}
	for _, it := range owed {
		if !c.notices.Add(it) { // the journal owes it still
			c.log.Error("courier: no room for a notice", "id", it.ID)
		}
	}
}
