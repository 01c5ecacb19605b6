package courier

// Accepts messages from clients, and tracks which are pending.

import (
	"raventrestle/internal/journal"
	"raventrestle/internal/net/submission"
)

// Take writes a message into the journal, unless the courier is full. The caller then calls Admit or Withdraw.
func (c *Courier) Take(m *journal.Message) error {
	c.mu.Lock()
	full := len(c.pendingIDs)-c.handedOver >= c.maxMessages || c.resendIDs[m.ID]
	admitted, known := c.pendingIDs[m.ID]
	admitted = admitted || c.otherProcessIDs[m.ID]
	_, served := c.destsLastListed[m.Dest]
	served = served || len(c.destsLastListed) == 0 // no endpoint list has arrived yet
	if !full && !known && served {
		c.pendingIDs[m.ID] = false
	}
	c.mu.Unlock()
	if admitted {
		return submission.ErrDuplicate
	}
	if !served {
		return submission.ErrUnknownDest
	}
	if full || known {
		c.Counts.Full.Add(1)
		return ErrFull
	}
	err := c.journal.AddMessage(m)
	c.noteWriteResult(err)
	if err != nil {
		c.Counts.Full.Add(1)
		c.forget(m.ID)
	}
	return err
}

// Admit starts the delivery of a message whose client has been told that it was accepted.
func (c *Courier) Admit(m *journal.Message, resubmitted, orphaned bool) {
	c.Counts.Accepted.Add(1)
	c.Metrics.Pending.Add(1)
	c.mu.Lock()
	c.pendingIDs[m.ID] = true
	c.mu.Unlock()
	c.recordAccepted(m)
	c.mailbox <- arrival{m, resubmitted, orphaned}
}

// Withdraw drops a message whose client left before it was told that the message was accepted.
func (c *Courier) Withdraw(m *journal.Message) {
	c.Counts.Withdrawn.Add(1)
	c.recordEnd(m.ID)
}

// recordEnd records in the journal that the messages need no more work, and forgets their ids.
func (c *Courier) recordEnd(ids ...string) {
	var records []journal.Record
	for _, id := range ids {
		records = append(records, journal.Done(id))
	}
	if err := c.journal.Append(records, nil); err != nil {
		c.log.Warn("courier: journal", "err", err)
	}
	for _, id := range ids {
		c.forget(id)
	}
}

func (c *Courier) notificationsDelivered(ids []string) {
	c.recordEnd(ids...)
	c.post(checkDrainedMsg{})
}

func (c *Courier) forget(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pendingIDs, id)
	delete(c.resendIDs, id)
}

// pendingCount returns how many messages have an end that is not yet acknowledged by the platform, or not yet written
// into their dead letter.
func (c *Courier) pendingCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pendingIDs) + len(c.resendIDs) - c.handedOver
}
