package courier

import (
	"fmt"
	"time"

	"raventrestle"
	"raventrestle/internal/fleet/facts"
	"raventrestle/internal/history"
	"raventrestle/internal/journal"
	"raventrestle/internal/net/notice"
)

// History takes what the courier does, for a check after a run (internal/lab/history). It waits for nothing, and any
// goroutine may write to it.
type History interface{ Write(history.Record) }

// diary is the courier's part in it. Without a history nothing here is allocated or kept.
//
// An end is written once the journal has it: a life that is killed before owes the message still, and its next life may
// try it again. What a killed life did last may be missing; nothing is written that was not done.
type diary struct {
	history History                      // nil where none is written
	ending  []history.Record             // of this step: what the journal does not have yet
	taken   map[facts.Key]facts.Evidence // as of this look
	earlier map[facts.Key]facts.Evidence // and of the one before
}

// Record makes the courier write a history. Call it before Run.
func (c *Courier) Record(h History) { c.history = h }

func (c *Courier) takenOn(m *journal.Message) {
	if c.history != nil {
		c.history.Write(history.Record{Kind: history.MessageAccepted, ID: m.ID})
	}
}

func (c *Courier) tries(id string, at raventrestle.TargetID) {
	if c.history != nil {
		c.history.Write(history.Record{Kind: history.AttemptBegun, ID: id, Subject: string(at)})
	}
}

// called notes that a call has just left in full; the peers tell it, each on goroutines of its own.
func (c *Courier) called(endpoint raventrestle.TargetID) {
	if c.history != nil {
		c.history.Write(history.Record{Kind: history.CallWritten, Subject: string(endpoint)})
	}
}

// waits notes that the endpoint was told, to this life, one before it or a member, to be sent nothing until then.
func (c *Courier) waits(endpoint raventrestle.TargetID, until time.Time) {
	if c.history != nil { // the clock is read first: the end that is written is not after the true one
		c.history.Write(history.Record{Kind: history.WaitReceived, Subject: string(endpoint), Until: history.Now() + int64(time.Until(until))})
	}
}

// answered keeps the end of a message that had its final answer until the journal has it.
func (c *Courier) answered(id string, s raventrestle.Status) {
	if c.history == nil {
		return
	}
	how := history.Delivered
	if s != raventrestle.OK {
		how = history.Void
	}
	c.ending = append(c.ending, history.Record{Kind: history.MessageEnded, ID: id, How: how})
}

// answers are the ends that the journal gets by this step.
func (c *Courier) answers() (ends []history.Record) {
	ends, c.ending = c.ending, nil
	return ends
}

// ended writes ends once the journal has them, or failed to: of a message that is given up the platform is told all the
// same, while one that was answered would be tried again.
func (c *Courier) ended(err error, answers []history.Record, owed []notice.Item) {
	if c.history == nil {
		return
	}
	if err == nil {
		for _, r := range answers {
			c.history.Write(r)
		}
	}
	for _, it := range owed {
		how := history.Undeliverable
		if it.Deferred {
			how = history.Deferred
		}
		c.history.Write(history.Record{Kind: history.MessageEnded, ID: it.ID, How: how})
	}
}

// deadLetterEnded writes that a dead letter went through. What else becomes of a resend is no end of the message, which has
// had it.
func (c *Courier) deadLetterEnded(id, what string) {
	if c.history != nil && what == "delivered" {
		c.history.Write(history.Record{Kind: history.MessageEnded, ID: id, How: history.DeadLetterDelivered})
	}
}

// look begins a look at what others told.
func (c *Courier) look() {
	if c.history != nil {
		c.earlier, c.taken = c.taken, make(map[facts.Key]facts.Evidence, len(c.taken))
	}
}

// takes notes evidence that this look reads, this courier's own included: by that the checkers know its true age. It
// is written when it is another learning than at the last look.
func (c *Courier) takes(s facts.Subject, k facts.Kind, e facts.Evidence) {
	if c.history == nil {
		return
	}
	key := facts.Key{Subject: s, Kind: k}
	if _, again := c.taken[key]; again { // the endpoints of a route share it
		return
	}
	if c.taken[key] = e; c.news(key) {
		c.history.Write(history.Record{
			Kind: history.FactAccepted, ID: learning(e), What: k.String(), Subject: about(s), Peer: e.Origin, PeerEpoch: e.Epoch,
			Age: int64(e.Age),
		})
	}
}

// news says whether the evidence is another learning than at the last look.
func (c *Courier) news(key facts.Key) bool {
	was, known := c.earlier[key]
	now := c.taken[key]
	return !known || was.Origin != now.Origin || was.Epoch != now.Epoch || was.Seq != now.Seq
}

// learning names a fact for all couriers: its origin, the origin's life and its count within that.
func learning(e facts.Evidence) string { return fmt.Sprintf("%s/%d/%d", e.Origin, e.Epoch, e.Seq) }

func about(s facts.Subject) string {
	if s.Endpoint == "" {
		return fmt.Sprintf("dest %d", s.Dest)
	}
	return s.Endpoint
}

// decided writes what of the advice changed something, with the age that was read and the bound that it is held to. A wait
// has none: it counts until its end, and a later look at the same one, counted anew, is no decision.
func (c *Courier) decided(told []raventrestle.PeerObservation) {
	if c.history == nil {
		return
	}
	var rests []history.Evidence
	rest := func(s facts.Subject, k facts.Kind, bound time.Duration) {
		if e, ok := c.taken[facts.Key{Subject: s, Kind: k}]; ok {
			rests = append(rests, history.Evidence{ID: learning(e), Age: int64(e.Age), MaxAge: int64(bound)})
		}
	}
	bound := c.conf.Settings.WarmupDuration
	for _, a := range told {
		r := c.peers[a.Target]
		s := c.route(r)
		wait := facts.Key{Subject: s, Kind: facts.Wait}
		if a.WaitUntil > 0 && c.news(wait) { // each endpoint of the route keeps it
			c.waits(a.Target, time.Unix(0, int64(a.WaitUntil)))
		}
		if a.Applied&raventrestle.AppliedWait != 0 && c.news(wait) {
			rest(s, facts.Wait, 0)
		}
		if a.Applied&raventrestle.AppliedLimit != 0 {
			rest(s, facts.Limit, bound)
		}
		if s.Endpoint = string(a.Target); a.Applied&raventrestle.AppliedOutage != 0 {
			rest(s, facts.Outage, bound)
		}
	}
	if len(rests) > 0 {
		c.history.Write(history.Record{Kind: history.Decided, How: "advise", Evidence: rests})
	}
}
