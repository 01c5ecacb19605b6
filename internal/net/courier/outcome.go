package courier

// How tries end.

import (
	"time"

	"raventrestle"
	"raventrestle/internal/journal"
)

// statuses are the words for how a try ended, in records, dead letters and counters.
var statuses = [...]string{
	raventrestle.OK: "ok", raventrestle.Error: "error", raventrestle.Rejected: "full",
	raventrestle.TimedOut: "timed_out", raventrestle.ConnectFailed: "connect_failed", raventrestle.Reset: "reset",
	raventrestle.Canceled: "cancelled", raventrestle.NotSent: "moot",
}

// outcome notes how a try ended.
func (c *Courier) outcome(o raventrestle.Outcome) []journal.Record {
	c.out--
	c.Counts.ByStatus[o.Status].Add(1)
	c.told(o)
	var records []journal.Record
	if o.RetryAfter > 0 {
		until := time.Now().Add(o.RetryAfter)
		if c.hold(o.Target, until); c.Successors {
			records = append(records, journal.PeerWait(string(o.Target), until.UnixNano()))
		}
	}
	id, m := string(o.ID), c.msgs[o.ID]
	word := ""
	if c.deadLetters != nil {
		word = statuses[o.Status]
		c.note(m, o, word)
	}
	if m != nil {
		m.out = false
	}
	never := o.Status == raventrestle.Rejected || o.Status == raventrestle.ConnectFailed || o.Status == raventrestle.NotSent
	switch {
	case o.Final && m != nil && m.ResendNumber > 0:
		what := "delivered"
		if o.Status != raventrestle.OK {
			what = "void"
		}
		c.resent(m, what)
		return records // the dead letter comes first
	case o.Final:
		end := &c.Counts.Delivered
		if o.Status != raventrestle.OK {
			end = &c.Counts.Void
		}
		end.Add(1)
		if m != nil {
			c.counted(m.Message, o.Status == raventrestle.OK, false)
			c.answered(id, o.Status)
		}
		delete(c.msgs, o.ID)
		c.forget(id)
		return append(records, journal.Done(id))
	case never:
		records = append(records, journal.NeverRan(id, word))
	default:
		records = append(records, journal.MayHaveRun(id, word))
	}
	if c.passing && m != nil && m.ResendNumber == 0 {
		records = append(records, c.handOver(m))
	}
	return records
}

// counted adds a message's end to the figures: delivered, handed back, or else failed.
func (c *Courier) counted(m *journal.Message, delivered, handedBack bool) {
	class := c.Figures.Class(m.Class)
	switch {
	case delivered:
		class.Completed.Add(1)
	case handedBack:
		class.Rejected.Add(1)
	default:
		class.Failed.Add(1)
	}
	c.Figures.Pending.Add(-1)
}
