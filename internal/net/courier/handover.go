package courier

import (
	"encoding/json"
	"time"

	"raventrestle"
	"raventrestle/internal/journal"
	"raventrestle/internal/net/notify"
)

// Processes of one courier hand over to each other through the journal of the process that leaves (see
// docs/design/upgrade.md). This file has both sides of the courier's part.

// handoverState is the actor's state for a handover.
type handoverState struct {
	handingOver       bool // this process leaves: messages without an attempt in flight go to the next process
	otherProcessSlots int  // call slots that another process uses
	inherited         bool // the learned state of the previous process has arrived
}

type (
	handOverMsg     struct{}
	inheritMsg      struct{ raventrestle.Learned }
	retryAfterMsg   struct{ waitUntil map[string]int64 }
	otherProcessMsg struct{ calls int }
)

// HandOver starts the handover to the next process. No new attempt starts here. Each message is marked in the journal as
// the next process's, immediately or once its attempt in flight has ended. The channel closes when none is left.
func (c *Courier) HandOver() <-chan struct{} {
	c.post(handOverMsg{})
	return c.drained
}

// startHandover withdraws all messages from the policy. The journal records those without an attempt in flight as the
// next process's, and then records that no further attempt starts here.
func (c *Courier) startHandover() (events []raventrestle.Event, records []journal.Record) {
	learnedJSON, err := json.Marshal(c.policy.Learned())
	if err != nil {
		c.log.Error("courier: the learned state is not handed over", "err", err)
	}
	for id, m := range c.msgs {
		if m.ResendNumber > 0 { // the next process finds it among the dead letters
			continue
		}
		events = append(events, raventrestle.Withdrawn{ID: id})
		if !m.inFlight {
			records = append(records, c.handOverMessage(m))
		}
	}
	return events, append(records, journal.Closing(learnedJSON))
}

// handOverMessage gives the message to the next process.
func (c *Courier) handOverMessage(m *message) journal.Record {
	delete(c.msgs, raventrestle.MessageID(m.ID))
	c.Metrics.Pending.Add(-1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handedOver++ // the id stays in pendingIDs
	return journal.HandedOver(m.ID)
}

// Adopt writes messages of an earlier process into this one's journal and takes them over. It returns how many of them it
// took, from the first on; what a full journal has no room for stays with the earlier process's journal.
func (c *Courier) Adopt(kept []journal.MessageState) (n int, err error) {
	for _, k := range kept {
		c.mu.Lock()
		_, known := c.pendingIDs[k.ID]
		if !known {
			c.pendingIDs[k.ID] = true
		}
		c.mu.Unlock()
		if known { // a client submitted the same message here
			n++
			continue
		}
		written := make(chan error, 1)
		if err = c.journal.Append(journal.Adopted(k), func(err error) { written <- err }); err == nil {
			err = <-written
		}
		if c.noteWriteResult(err); err != nil {
			c.forget(k.ID)
			return n, err
		}
		n++
		if k.PendingNotice != nil {
			c.notifier.Add(notify.Notification{ID: k.ID, End: *k.PendingNotice})
			continue
		}
		c.Counts.Restored.Add(1)
		c.Metrics.Pending.Add(1)
		c.post(k)
	}
	return n, nil
}

// RecordAllAdopted records in the journal that no journal of an earlier process is left.
func (c *Courier) RecordAllAdopted() {
	if err := c.journal.Append([]journal.Record{journal.PredecessorsRemoved()}, nil); err != nil {
		c.log.Warn("courier: journal", "err", err)
	}
}

// Inherit applies what the previous process learned, as JSON from its journal.
func (c *Courier) Inherit(learnedJSON []byte) {
	if len(learnedJSON) == 0 {
		return
	}
	var learned raventrestle.Learned
	if err := json.Unmarshal(learnedJSON, &learned); err != nil {
		c.log.Warn("courier: the learned state of the previous process can't be read", "err", err)
		return
	}
	c.post(inheritMsg{learned})
}

// ApplyRetryAfter applies Retry-After waits that the previous process received: by target name, the end of the wait in
// Unix nanoseconds.
func (c *Courier) ApplyRetryAfter(waitUntil map[string]int64) {
	if len(waitUntil) > 0 {
		c.post(retryAfterMsg{waitUntil})
	}
}

func (c *Courier) applyRetryAfter(waitUntil map[string]int64) {
	for name, until := range waitUntil {
		c.policy.ApplyRetryAfter(raventrestle.TargetID(name), time.Duration(until))
		c.blockRoute(raventrestle.TargetID(name), time.Unix(0, until))
		if r := c.peers[raventrestle.TargetID(name)]; r != nil {
			r.BlockUntil(time.Unix(0, until))
		}
	}
}

// SetOtherProcess says which messages another process of this courier still has in flight, and in how many calls.
// Submissions with these ids are refused as known, and the calls occupy slots.
func (c *Courier) SetOtherProcess(ids []string, calls int) {
	known := make(map[string]bool, len(ids))
	for _, id := range ids {
		known[id] = true
	}
	c.mu.Lock()
	c.otherProcessIDs = known
	c.mu.Unlock()
	c.post(otherProcessMsg{calls})
}
