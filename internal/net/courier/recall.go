package courier

import (
	"context"
	"time"

	"raventrestle"
	"raventrestle/internal/beliefs"
)

// recall is the actor's part in keeping what it has learned for a next life that finds the folder: a life that was
// killed hands nothing over.
type recall struct {
	before *raventrestle.Beliefs // of the life before, until they are taken up
	keeper *beliefs.Keeper       // nil where none are kept
	kept   time.Duration         // when beliefs were last handed to it
}

// keepEvery is how much of what is learned a kill may cost.
const keepEvery = 500 * time.Millisecond

// Recall makes the courier begin with the beliefs, nil for none, and hand its own to the keeper. Call it before Run.
func (c *Courier) Recall(before *raventrestle.Beliefs, keeper *beliefs.Keeper) {
	c.before, c.keeper = before, keeper
}

// believeBefore takes up what the life before had learned before anything else: its limits and waits then hold for what
// is restored. The first mail is the list that is known, which beliefs are of.
func (c *Courier) believeBefore(ctx context.Context) {
	if c.before == nil {
		return
	}
	c.step(ctx, []any{<-c.mail})
	c.policy.Believe(*c.before)
	for _, d := range c.before.Dests {
		for _, t := range d.Targets {
			if route := firstOf(d.Route, t.Route); route != nil && route.Until > now() {
				c.hold(t.Target, time.Unix(0, int64(route.Until)))
			}
		}
	}
	c.before = nil
}

func firstOf(routes ...*raventrestle.RouteBeliefs) *raventrestle.RouteBeliefs {
	for _, r := range routes {
		if r != nil {
			return r
		}
	}
	return nil
}

// remember hands the keeper what is believed now, and now and then only.
func (c *Courier) remember(t time.Duration) {
	if c.keeper == nil || t-c.kept < keepEvery {
		return
	}
	c.kept = t
	c.keeper.Save(beliefs.Saved{At: t, Beliefs: c.policy.Beliefs()})
}
