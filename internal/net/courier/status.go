package courier

import (
	"context"
	"time"

	"raventrestle"
)

// Status is what a courier is at, as its actor sees it.
type Status struct {
	Held     int                     `json:"held"`    // messages taken on that have no end yet
	Out      int                     `json:"out"`     // tries under way
	Resends  int                     `json:"resends"` // of undeliverable messages, among the held
	Owed     int                     `json:"owed"`    // messages whose end the platform has not heard, the held included
	MostHeld int                     `json:"most_held"`
	Slots    int                     `json:"slots"`
	Listed   time.Time               `json:"listed"` // when discovery last answered, the zero time if it has not
	Index    int64                   `json:"list_index"`
	Channels []raventrestle.DestView `json:"channels"`
}

type statusMsg struct{ to chan<- Status }

// Status asks the actor. The courier answers within a step, or the context's end is the error.
func (c *Courier) Status(ctx context.Context) (Status, error) {
	to := make(chan Status, 1)
	c.post(statusMsg{to})
	select {
	case s := <-to:
		return s, nil
	case <-ctx.Done():
		return Status{}, ctx.Err()
	}
}

func (c *Courier) status() Status {
	return Status{
		Held: len(c.msgs), Out: c.out, Resends: c.again, Owed: c.owed(), MostHeld: c.conf.Settings.MaxMessages, Slots: c.conf.Settings.CallSlots,
		Listed: c.listed, Index: c.index, Channels: c.policy.View(),
	}
}
