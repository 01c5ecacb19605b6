package courier

import (
	"context"
	"time"

	"raventrestle"
)

// Status is a snapshot of the courier's state.
type Status struct {
	Held      int                     `json:"held"`    // accepted messages that have not ended
	InFlight  int                     `json:"out"`     // attempts in flight
	Resends   int                     `json:"resends"` // resends of dead letters, included in Held
	Pending   int                     `json:"owed"`    // messages whose end the platform has not acknowledged, Held included
	MaxHeld   int                     `json:"most_held"`
	Slots     int                     `json:"slots"`
	ListedAt  time.Time               `json:"listed"` // when discovery last answered; zero if it never has
	ListIndex int64                   `json:"list_index"`
	Channels  []raventrestle.DestView `json:"channels"`
}

type statusMsg struct{ reply chan<- Status }

// Status returns the current state. The actor answers after its current step, unless the context ends before.
func (c *Courier) Status(ctx context.Context) (Status, error) {
	reply := make(chan Status, 1)
	c.post(statusMsg{reply})
	select {
	case s := <-reply:
		return s, nil
	case <-ctx.Done():
		return Status{}, ctx.Err()
	}
}

func (c *Courier) status() Status {
	return Status{
		Held: len(c.msgs), InFlight: c.inFlight, Resends: c.activeResends, Pending: c.pendingCount(), MaxHeld: c.conf.Settings.MaxMessages, Slots: c.conf.Settings.CallSlots,
		ListedAt: c.listedAt, ListIndex: c.listIndex, Channels: c.policy.View(),
	}
}
