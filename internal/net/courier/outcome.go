package courier

// Handles the outcomes of attempts.

import (
	"time"

	"raventrestle"
	"raventrestle/internal/journal"
)

// statusNames are the names of an attempt's outcome in journal records, dead letters and counters.
var statusNames = [...]string{
	raventrestle.OK: "ok", raventrestle.Error: "error", raventrestle.Rejected: "full",
	raventrestle.TimedOut: "timed_out", raventrestle.ConnectFailed: "connect_failed", raventrestle.Reset: "reset",
	raventrestle.Canceled: "cancelled", raventrestle.NotSent: "moot",
}

// recordOutcome updates the courier's state with an attempt's outcome and returns its journal records.
func (c *Courier) recordOutcome(o raventrestle.Outcome) []journal.Record {
	c.inFlight--
	c.Counts.ByStatus[o.Status].Add(1)
	c.shareOutcome(o)
	var records []journal.Record
	if o.RetryAfter > 0 {
		until := time.Now().Add(o.RetryAfter)
		if c.blockRoute(o.Target, until); c.KeepForSuccessor {
			records = append(records, journal.PeerWait(string(o.Target), until.UnixNano()))
		}
	}
	id, m := string(o.ID), c.msgs[o.ID]
	statusName := ""
	if c.deadLetters != nil {
		statusName = statusNames[o.Status]
		c.attemptEnded(m, o, statusName)
	}
	if m != nil {
		m.inFlight = false
	}
	neverRan := o.Status == raventrestle.Rejected || o.Status == raventrestle.ConnectFailed || o.Status == raventrestle.NotSent
	switch {
	case o.Final && m != nil && m.ResendNumber > 0:
		result := "delivered"
		if o.Status != raventrestle.OK {
			result = "void"
		}
		c.finishResend(m, result)
		return records // the journal is updated after the dead letter: see finishResend
	case o.Final:
		counter := &c.Counts.Delivered
		if o.Status != raventrestle.OK {
			counter = &c.Counts.Void
		}
		counter.Add(1)
		if m != nil {
			c.countEnding(m.Message, o.Status == raventrestle.OK, false)
			c.addPendingEnding(id, o.Status)
		}
		delete(c.msgs, o.ID)
		c.forget(id)
		return append(records, journal.Done(id))
	case neverRan:
		records = append(records, journal.NeverRan(id, statusName))
	default:
		records = append(records, journal.MayHaveRun(id, statusName))
	}
	if c.handingOver && m != nil && m.ResendNumber == 0 {
		records = append(records, c.handOverMessage(m))
	}
	return records
}

// countEnding counts the end of a message as completed, rejected (handed back) or failed.
func (c *Courier) countEnding(m *journal.Message, delivered, handedBack bool) {
	class := c.Metrics.Class(m.Class)
	switch {
	case delivered:
		class.Completed.Add(1)
	case handedBack:
		class.Rejected.Add(1)
	default:
		class.Failed.Add(1)
	}
	c.Metrics.Pending.Add(-1)
}
