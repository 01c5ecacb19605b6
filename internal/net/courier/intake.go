package courier

// Messages as clients submit them, and what the courier owes for them.

import (
	"raventrestle/internal/journal"
	"raventrestle/internal/net/front"
)

// Take writes a message down, unless the courier holds all that it may. The caller then either
// admits or withdraws it.
func (c *Courier) Take(m *journal.Message) error {
	c.mu.Lock()
	full := len(c.known)-c.handed >= c.most || c.resends[m.ID]
	admitted, known := c.known[m.ID]
	admitted = admitted || c.elsewhere[m.ID]
	_, served := c.dests[m.Dest]
	served = served || len(c.dests) == 0 // no list has come yet
	if !full && !known && served {
		c.known[m.ID] = false
	}
	c.mu.Unlock()
	if admitted {
		return front.ErrKnown
	}
	if !served {
		return front.ErrNoDest
	}
	if full || known {
		c.Counts.Full.Add(1)
		return ErrFull
	}
	err := c.journal.AddMessage(m)
	c.writes(err)
	if err != nil {
		c.Counts.Full.Add(1)
		c.forget(m.ID)
	}
	return err
}

// Admit lets a message in whose client has heard that it is taken on.
func (c *Courier) Admit(m *journal.Message, again, orphan bool) {
	c.Counts.Taken.Add(1)
	c.Figures.Pending.Add(1)
	c.mu.Lock()
	c.known[m.ID] = true
	c.mu.Unlock()
	c.takenOn(m)
	c.mail <- arrival{m, again, orphan}
}

// Withdraw drops a message whose client never heard of its being taken on.
func (c *Courier) Withdraw(m *journal.Message) {
	c.Counts.Withdrawn.Add(1)
	c.over(m.ID)
}

// over ends all that is owed for the messages.
func (c *Courier) over(ids ...string) {
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

func (c *Courier) heard(ids []string) {
	c.over(ids...)
	c.post(heardMsg{})
}

func (c *Courier) forget(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.known, id)
	delete(c.resends, id)
}

// owed is how many messages have no end yet that is told, or written into their dead letter.
func (c *Courier) owed() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.known) + len(c.resends) - c.handed
}
