package courier

import (
	"context"
	"time"

	"raventrestle"
	"raventrestle/internal/learned"
)

// recall is the actor's part in keeping what it has learned for a next life that finds the folder: a life that was
// killed hands nothing over.
type recall struct {
	before *raventrestle.Learned // of the life before, until it is taken up
	keeper *learned.Writer       // nil where none are kept
	kept   time.Duration         // when it was last given what is known
}

// keepEvery is how much of what is learned a kill may cost.
const keepEvery = 500 * time.Millisecond

// Recall makes the courier begin with what the life before had learned, nil for nothing, and hand its own to the keeper. Call it before Run.
func (c *Courier) Recall(before *raventrestle.Learned, keeper *learned.Writer) {
	c.before, c.keeper = before, keeper
}

// inheritBefore takes up what the life before had learned before anything else: its limits and waits then hold for what
// is restored. The first mail is the list that is known, whose targets it is of.
func (c *Courier) inheritBefore(ctx context.Context) {
	if c.before == nil {
		return
	}
	c.step(ctx, []any{<-c.mail})
	c.policy.Inherit(*c.before)
	for _, d := range c.before.Dests {
		for _, t := range d.Targets {
			if route := firstOf(d.Route, t.Route); route != nil && route.WaitUntil > now() {
				c.hold(t.Target, time.Unix(0, int64(route.WaitUntil)))
			}
		}
	}
	c.before = nil
}

func firstOf(routes ...*raventrestle.LearnedRoute) *raventrestle.LearnedRoute {
	for _, r := range routes {
		if r != nil {
			return r
		}
	}
	return nil
}

// remember hands the keeper what is known now, and now and then only.
func (c *Courier) remember(t time.Duration) {
	if c.keeper == nil || t-c.kept < keepEvery {
		return
	}
	c.kept = t
	c.keeper.Save(learned.Snapshot{SavedAt: t, Learned: c.policy.Learned()})
}
