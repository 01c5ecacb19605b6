package courier

import (
	"encoding/json"
	"time"

	"raventrestle"
	"raventrestle/internal/journal"
	"raventrestle/internal/net/notice"
)

// What passes between two processes of one courier goes by the journal of the one that goes: see
// docs/design/upgrade.md. Here is what the courier does of it, on either side.

// handover is the actor's part of it.
type handover struct {
	passing   bool // this process goes: what is not out is the next one's
	theirs    int  // slots that another process uses
	inherited bool // what the process before had learned has come
}

type (
	passMsg      struct{}
	inheritMsg   struct{ raventrestle.Learned }
	heedMsg      struct{ waits map[string]int64 }
	elsewhereMsg struct{ calls int }
)

// Pass hands over to the process that follows: nothing is begun here any more, and what is held goes into
// the journal as the next one's, now or once its call has ended. The channel closes when nothing is left.
func (c *Courier) Pass() <-chan struct{} {
	c.post(passMsg{})
	return c.quiet
}

// pass is the step in which the courier begins to hand over: the module forgets all messages, and the
// journal has those that are not out as the next one's before it says that nothing is begun any more.
func (c *Courier) pass() (events []raventrestle.Event, records []journal.Record) {
	left, err := json.Marshal(c.policy.Learned())
	if err != nil {
		c.log.Error("courier: what is known of channels stays here", "err", err)
	}
	for id, m := range c.msgs {
		if m.ResendNumber > 0 { // its dead letter tells the next life
			continue
		}
		events = append(events, raventrestle.Withdrawn{ID: id})
		if !m.out {
			records = append(records, c.handOver(m))
		}
	}
	return events, append(records, journal.Closing(left))
}

// handOver makes the message the next process's.
func (c *Courier) handOver(m *message) journal.Record {
	delete(c.msgs, raventrestle.MessageID(m.ID))
	c.Figures.Pending.Add(-1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handed++ // the id stays known
	return journal.HandedOver(m.ID)
}

// Adopt writes messages of an earlier life into this one's journal and takes them up. It says how many, the
// first ones: what a full journal has no room for stays the earlier one's.
func (c *Courier) Adopt(kept []journal.MessageState) (n int, err error) {
	for _, k := range kept {
		c.mu.Lock()
		_, known := c.known[k.ID]
		if !known {
			c.known[k.ID] = true
		}
		c.mu.Unlock()
		if known { // submitted here as well
			n++
			continue
		}
		heard := make(chan error, 1)
		if err = c.journal.Append(journal.Adopted(k), func(err error) { heard <- err }); err == nil {
			err = <-heard
		}
		if c.writes(err); err != nil {
			c.forget(k.ID)
			return n, err
		}
		n++
		if k.PendingNotice != nil {
			c.notices.Add(notice.Item{ID: k.ID, End: *k.PendingNotice})
			continue
		}
		c.Counts.Restored.Add(1)
		c.Figures.Pending.Add(1)
		c.post(k)
	}
	return n, nil
}

// Settled says that no journal of an earlier life is there any more.
func (c *Courier) Settled() {
	if err := c.journal.Append([]journal.Record{journal.PredecessorsRemoved()}, nil); err != nil {
		c.log.Warn("courier: journal", "err", err)
	}
}

// Inherit takes over what the process before had learned, as its journal has it.
func (c *Courier) Inherit(left []byte) {
	if len(left) == 0 {
		return
	}
	var b raventrestle.Learned
	if err := json.Unmarshal(left, &b); err != nil {
		c.log.Warn("courier: what the process before had learned can't be read", "err", err)
		return
	}
	c.post(inheritMsg{b})
}

// Heed keeps waits that the process before was told, by the names of peers, until when in Unix nanoseconds.
func (c *Courier) Heed(waits map[string]int64) {
	if len(waits) > 0 {
		c.post(heedMsg{waits})
	}
}

func (c *Courier) heed(waits map[string]int64) {
	for name, until := range waits {
		c.policy.ApplyRetryAfter(raventrestle.TargetID(name), time.Duration(until))
		c.hold(raventrestle.TargetID(name), time.Unix(0, until))
		if r := c.peers[raventrestle.TargetID(name)]; r != nil {
			r.Hold(time.Unix(0, until))
		}
	}
}

// Elsewhere says which messages another process of this courier still has out, on how many calls: what is
// submitted under their ids is known, and the slots are taken.
func (c *Courier) Elsewhere(ids []string, calls int) {
	known := make(map[string]bool, len(ids))
	for _, id := range ids {
		known[id] = true
	}
	c.mu.Lock()
	c.elsewhere = known
	c.mu.Unlock()
	c.post(elsewhereMsg{calls})
}
