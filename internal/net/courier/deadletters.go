package courier

import (
	"time"

	"raventrestle"
	"raventrestle/internal/deadletter"
	"raventrestle/internal/deadletter/rule"
	"raventrestle/internal/journal"
	"raventrestle/internal/net/notice"
)

// Keep makes the courier keep what it gives up. Call it before Run.
func (c *Courier) Keep(k *deadletter.Manager) { c.deadLetters = k }

// Again takes a dead letter that is to be sent again; the journal has it already. It does not block, and
// says whether there was room.
func (c *Courier) Again(a deadletter.ResendRequest) bool {
	c.mu.Lock()
	c.resends[a.ID] = true
	c.mu.Unlock()
	select {
	case c.mail <- a:
		return true
	default:
		c.forget(a.ID)
		return false
	}
}

// begin and note keep the message's tries for its dead letter.
func (c *Courier) begin(m *message, t journal.Attempt) {
	c.past(m, "")
	m.InFlight = &t
}

func (c *Courier) note(m *message, o raventrestle.Outcome, word string) {
	if o.Status != raventrestle.NotSent && o.Status != raventrestle.Canceled {
		c.seen = append(c.seen, deadletter.CallEnd{Dest: destOf(m, c.peers[o.Target]), Delivered: o.Status == raventrestle.OK})
	}
	if m != nil {
		c.past(m, word)
	}
}

func destOf(m *message, r *ref) int64 {
	if m != nil {
		return m.Dest
	}
	if r != nil {
		return int64(r.entry.Dest)
	}
	return -1
}

// mostPast bounds the tries that are remembered of one message.
const mostPast = 16

// past moves the try that was out to those that have ended. The first that may have run is
// remembered whatever becomes of the list.
func (c *Courier) past(m *message, word string) {
	if m.InFlight == nil {
		return
	}
	t := deadletter.Attempt{Outcome: word}
	if m.FirstRun == nil && t.MayHaveRun() {
		m.FirstRun = m.InFlight
	}
	if len(m.Completed) < mostPast {
		m.Completed = append(m.Completed, journal.CompletedAttempt{Attempt: *m.InFlight, Outcome: word})
	}
	m.InFlight = nil
}

// undeliverable writes the dead letter of a message that was given up, then its end, and then tells the
// platform, in that order. Without the dead letter the module's own end is told.
func (c *Courier) undeliverable(m *message, t time.Duration, end journal.End) {
	delete(c.msgs, raventrestle.MessageID(m.ID))
	class := raventrestle.Class{Name: m.Class, Idempotency: raventrestle.NonIdempotent}
	if i, known := c.conf.Names.Classes[m.Class]; known {
		class = c.conf.Settings.Classes[i]
	}
	l := deadletter.NewMessage(journal.MessageState{Message: m.Message, Progress: m.Progress}, class, c.why(m, class, t), time.Unix(0, int64(t)))
	it := notice.Item{ID: m.ID}
	c.deadLetters.Add(l, end.Deferred, func(err error) { // the keeper has counted and logged what it could not write
		if err != nil {
			it.End = end
		}
		c.counted(m.Message, false, it.Deferred)
		if it.Deferred {
			c.Counts.Deferred.Add(1)
		} else {
			c.Counts.Undeliverable.Add(1)
		}
		then := func(err error) {
			c.ended(err, nil, []notice.Item{it})
			c.written(err, nil, []notice.Item{it})
		}
		if err := c.journal.Append([]journal.Record{journal.Ended(it.ID, it.End)}, then); err != nil {
			then(err)
		}
	})
}

// why words for operators what the message had come to when the module gave it up.
func (c *Courier) why(m *message, class raventrestle.Class, t time.Duration) string {
	most := c.conf.Settings.MaxAttempts
	switch {
	case m.FirstRun != nil && class.Idempotency == raventrestle.NonIdempotent:
		return "may have run"
	case most > 0 && m.AttemptCount >= most:
		return "all tries used"
	case m.AttemptCount == 0 && c.peersOf(m.Dest) == 0:
		return "no endpoint listed"
	case int64(t) >= m.ExpiresAt-int64(time.Second):
		return "out of time"
	}
	return "given up"
}

func (c *Courier) peersOf(dest int64) (n int) {
	for _, r := range c.peers {
		if int64(r.entry.Dest) == dest {
			n++
		}
	}
	return n
}

// resend hands a dead letter to the module as a message of its own life, unless a fresh one would have to
// wait for it; then it goes back unsent.
func (c *Courier) resend(a deadletter.ResendRequest, t time.Duration) raventrestle.Event {
	m := &message{Message: a.Message}
	if a.MayHaveRun {
		m.PriorRun, m.FirstRun = &a.FirstRun, &a.FirstRun
	}
	c.msgs[raventrestle.MessageID(m.ID)] = m
	c.again++
	load := c.load()
	if c.closing || c.deadLetters == nil || load.Held > load.MaxHeld*3/4 || c.waiting()[m.Dest] > 0 {
		c.resent(m, "yielded")
		return nil
	}
	e := c.arrived(arrival{Message: a.Message}, t)
	if !a.MayHaveRun {
		return e
	}
	return raventrestle.Restored{
		Arrival: e, MayHaveRun: true, RunTarget: raventrestle.TargetID(a.FirstRun.Peer),
		RunZone: c.zone(a.FirstRun.Zone), RunAt: time.Duration(a.FirstRun.At),
	}
}

func (c *Courier) zone(name string) int {
	if i, ok := c.conf.Names.Zones[name]; ok {
		return i
	}
	return -1
}

// resent writes a resend's end into its dead letter, and then lets the journal forget it. Where the dead letter
// can't be written, the journal goes on answering for it until the next start.
func (c *Courier) resent(m *message, what string) {
	delete(c.msgs, raventrestle.MessageID(m.ID))
	c.again--
	if c.deadLetters == nil {
		return
	}
	id := m.ID
	c.deadLetters.Finish(deadletter.ResendResult{ID: id, Dest: m.Dest, Result: what, Attempts: deadletter.AttemptsFrom(m.Progress)}, func(err error) {
		if err != nil {
			return
		}
		c.deadLetterEnded(id, what)
		c.over(id)
		c.post(heardMsg{})
	})
}

// yield takes resends that wait back out of the module where fresh messages come for their
// destination, or for the room.
func (c *Courier) yield(mail []any) (events []raventrestle.Event) {
	if c.again == 0 {
		return nil
	}
	fresh := map[int64]bool{}
	load := c.load()
	for _, m := range mail {
		if a, ok := m.(arrival); ok {
			fresh[a.Dest] = true
			load.Held++
		}
	}
	crowded := rule.Limits{}.ResendsToYield(load)
	for id, m := range c.msgs {
		if m.ResendNumber == 0 || m.out || !fresh[m.Dest] && crowded <= 0 {
			continue
		}
		crowded--
		events = append(events, raventrestle.Withdrawn{ID: id})
		c.resent(m, "yielded")
	}
	return events
}

func (c *Courier) load() rule.Load {
	return rule.Load{
		Slots: c.conf.Settings.CallSlots, InFlight: c.out, MaxHeld: c.conf.Settings.MaxMessages,
		Held: len(c.msgs), Resends: c.again,
	}
}

// waiting counts the fresh messages that are held and not out, by destination.
func (c *Courier) waiting() map[int64]int {
	n := map[int64]int{}
	for _, m := range c.msgs {
		if m.ResendNumber == 0 && !m.out {
			n[m.Dest]++
		}
	}
	return n
}

// showEvery is how often the dead letters' keeper hears of the load.
const showEvery = 20 * time.Millisecond

// show tells the dead letters' keeper how calls ended and what there is to do.
func (c *Courier) show() {
	if c.deadLetters == nil {
		return
	}
	c.deadLetters.RecordCalls(c.seen)
	c.seen = nil
	if time.Since(c.shown) < showEvery {
		return
	}
	c.shown = time.Now()
	v := &deadletter.CourierState{Load: c.load(), Waiting: c.waiting(), Endpoints: map[int64][]rule.Endpoint{}}
	if c.closing { // nothing begins any more
		v.Slots, v.MaxHeld = 0, 0
	}
	for _, r := range c.peers {
		if r.entry.State != raventrestle.Ready {
			continue
		}
		floor := ""
		if z := r.entry.Zone; z >= 0 {
			floor = c.conf.Settings.Zones[z].Name
		}
		v.Endpoints[int64(r.entry.Dest)] = append(v.Endpoints[int64(r.entry.Dest)], rule.Endpoint{Peer: string(r.entry.Target), Zone: floor})
	}
	c.deadLetters.SetCourierState(v)
}
