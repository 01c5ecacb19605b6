package courier

import (
	"fmt"
	"time"

	"raventrestle"
	"raventrestle/internal/fleet/facts"
	"raventrestle/internal/history"
	"raventrestle/internal/journal"
	"raventrestle/internal/net/notify"
)

// History receives what the courier does, for checks after a test run (internal/lab/historycheck). Write does not block and is
// safe for concurrent use.
type History interface{ Write(history.Record) }

// historyState is the courier's state for writing a history. Without a history it allocates and keeps nothing.
//
// The end of a message is written after the journal has it: a process that is killed before that still has the message
// pending, and the next process may attempt it again. The last events before a kill may be missing; no event is written
// that did not happen.
type historyState struct {
	history          History                      // nil if no history is written
	pendingEndings   []history.Record             // ends of this step that the journal does not have yet
	evidence         map[facts.Key]facts.Evidence // facts read in this exchange
	previousEvidence map[facts.Key]facts.Evidence // facts read in the exchange before
}

// Record makes the courier write a history. Call it before Run.
func (c *Courier) Record(h History) { c.history = h }

func (c *Courier) recordAccepted(m *journal.Message) {
	if c.history != nil {
		c.history.Write(history.Record{Kind: history.MessageAccepted, ID: m.ID})
	}
}

func (c *Courier) recordAttempt(id string, target raventrestle.TargetID) {
	if c.history != nil {
		c.history.Write(history.Record{Kind: history.AttemptBegun, ID: id, Subject: string(target)})
	}
}

// recordCallWritten records that a call was written in full. Peers call it from their own goroutines.
func (c *Courier) recordCallWritten(endpoint raventrestle.TargetID) {
	if c.history != nil {
		c.history.Write(history.Record{Kind: history.CallWritten, Subject: string(endpoint)})
	}
}

// recordWait records that the endpoint must not be sent anything before the given time, as reported to this process, to
// an earlier one or to another courier.
func (c *Courier) recordWait(endpoint raventrestle.TargetID, until time.Time) {
	if c.history != nil { // time.Until runs after history.Now, so the recorded end is not later than the real one
		c.history.Write(history.Record{Kind: history.WaitReceived, Subject: string(endpoint), Until: history.Now() + int64(time.Until(until))})
	}
}

// addPendingEnding keeps the end of a message with a final answer until the journal has it.
func (c *Courier) addPendingEnding(id string, s raventrestle.Status) {
	if c.history == nil {
		return
	}
	how := history.Delivered
	if s != raventrestle.OK {
		how = history.Void
	}
	c.pendingEndings = append(c.pendingEndings, history.Record{Kind: history.MessageEnded, ID: id, How: how})
}

// takePendingEndings returns the ends that the journal records with this step, and clears the list.
func (c *Courier) takePendingEndings() (endings []history.Record) {
	endings, c.pendingEndings = c.pendingEndings, nil
	return endings
}

// recordEndings records ends after their journal write. If the write failed, only the messages that were given up are
// recorded: the platform is notified of these anyway, while an answered message would be attempted again.
func (c *Courier) recordEndings(err error, finalAnswers []history.Record, endings []notify.Notification) {
	if c.history == nil {
		return
	}
	if err == nil {
		for _, r := range finalAnswers {
			c.history.Write(r)
		}
	}
	for _, it := range endings {
		how := history.Undeliverable
		if it.Deferred {
			how = history.Deferred
		}
		c.history.Write(history.Record{Kind: history.MessageEnded, ID: it.ID, How: how})
	}
}

// deadLetterEnded records the delivery of a dead letter. Other results of a resend are not recorded, since the message
// has already ended.
func (c *Courier) deadLetterEnded(id, result string) {
	if c.history != nil && result == "delivered" {
		c.history.Write(history.Record{Kind: history.MessageEnded, ID: id, How: history.DeadLetterDelivered})
	}
}

// startEvidenceRead starts the evidence of a new exchange and keeps that of the last one.
func (c *Courier) startEvidenceRead() {
	if c.history != nil {
		c.previousEvidence, c.evidence = c.evidence, make(map[facts.Key]facts.Evidence, len(c.evidence))
	}
}

// recordEvidence records a fact that this exchange reads, this courier's own included, from which the checkers know its
// true age. It is recorded only if it is not the same fact as in the last exchange.
func (c *Courier) recordEvidence(s facts.Subject, k facts.Kind, e facts.Evidence) {
	if c.history == nil {
		return
	}
	key := facts.Key{Subject: s, Kind: k}
	if _, alreadyRead := c.evidence[key]; alreadyRead { // the endpoints of a route share it
		return
	}
	if c.evidence[key] = e; c.evidenceChanged(key) {
		c.history.Write(history.Record{
			Kind: history.FactAccepted, ID: factID(e), What: k.String(), Subject: subjectName(s), Peer: e.Origin, PeerEpoch: e.Epoch,
			Age: int64(e.Age),
		})
	}
}

// evidenceChanged reports whether the fact differs from that of the last exchange.
func (c *Courier) evidenceChanged(key facts.Key) bool {
	previous, known := c.previousEvidence[key]
	current := c.evidence[key]
	return !known || previous.Origin != current.Origin || previous.Epoch != current.Epoch || previous.Seq != current.Seq
}

// factID identifies a fact across all couriers: by its origin, the origin's epoch and its sequence number within that.
func factID(e facts.Evidence) string { return fmt.Sprintf("%s/%d/%d", e.Origin, e.Epoch, e.Seq) }

func subjectName(s facts.Subject) string {
	if s.Endpoint == "" {
		return fmt.Sprintf("dest %d", s.Dest)
	}
	return s.Endpoint
}

// recordDecision records which facts changed a decision, with the age that was read and the maximum age that is allowed.
// A wait has no maximum age: it applies until its end, and reading the same wait again is no new decision.
func (c *Courier) recordDecision(observations []raventrestle.PeerObservation) {
	if c.history == nil {
		return
	}
	var sources []history.Evidence
	addSource := func(s facts.Subject, k facts.Kind, bound time.Duration) {
		if e, ok := c.evidence[facts.Key{Subject: s, Kind: k}]; ok {
			sources = append(sources, history.Evidence{ID: factID(e), Age: int64(e.Age), MaxAge: int64(bound)})
		}
	}
	bound := c.conf.Settings.WarmupDuration
	for _, a := range observations {
		r := c.peers[a.Target]
		s := c.routeSubject(r)
		wait := facts.Key{Subject: s, Kind: facts.Wait}
		if a.WaitUntil > 0 && c.evidenceChanged(wait) { // recorded for each endpoint of the route
			c.recordWait(a.Target, time.Unix(0, int64(a.WaitUntil)))
		}
		if a.Applied&raventrestle.AppliedWait != 0 && c.evidenceChanged(wait) {
			addSource(s, facts.Wait, 0)
		}
		if a.Applied&raventrestle.AppliedLimit != 0 {
			addSource(s, facts.Limit, bound)
		}
		if s.Endpoint = string(a.Target); a.Applied&raventrestle.AppliedOutage != 0 {
			addSource(s, facts.Outage, bound)
		}
	}
	if len(sources) > 0 {
		c.history.Write(history.Record{Kind: history.Decided, How: "advise", Evidence: sources})
	}
}
