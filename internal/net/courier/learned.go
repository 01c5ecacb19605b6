package courier

import (
	"context"
	"time"

	"raventrestle"
	"raventrestle/internal/learned"
)

// learnedState is the part of the actor that saves what the policy has learned, for the next process that uses the same
// folder. A process that is killed has no chance to hand it over.
type learnedState struct {
	previousLearned *raventrestle.Learned // what the previous process learned; nil once it has been applied
	learnedStore    *learned.Writer       // nil if nothing is saved
	learnedSavedAt  time.Duration         // when the last save was made
}

// learnedSaveInterval bounds how much learned state is lost when the process is killed.
const learnedSaveInterval = 500 * time.Millisecond

// UseLearned makes the courier start with what the previous process learned (nil for nothing) and save its own learned
// state to the store. Call it before Run.
func (c *Courier) UseLearned(previous *raventrestle.Learned, store *learned.Writer) {
	c.previousLearned, c.learnedStore = previous, store
}

// applyPreviousLearned applies what the previous process learned before any other event, so that its limits and waits
// already apply to restored messages. The first message in the mailbox is the cached endpoint list, which has the targets
// that the learned state refers to.
func (c *Courier) applyPreviousLearned(ctx context.Context) {
	if c.previousLearned == nil {
		return
	}
	c.step(ctx, []any{<-c.mailbox})
	c.policy.Inherit(*c.previousLearned)
	for _, d := range c.previousLearned.Dests {
		for _, t := range d.Targets {
			if route := firstRoute(d.Route, t.Route); route != nil && route.WaitUntil > now() {
				c.blockRoute(t.Target, time.Unix(0, int64(route.WaitUntil)))
			}
		}
	}
	c.previousLearned = nil
}

func firstRoute(routes ...*raventrestle.LearnedRoute) *raventrestle.LearnedRoute {
	for _, r := range routes {
		if r != nil {
			return r
		}
	}
	return nil
}

// saveLearned saves what the policy has learned, at most once per learnedSaveInterval.
func (c *Courier) saveLearned(t time.Duration) {
	if c.learnedStore == nil || t-c.learnedSavedAt < learnedSaveInterval {
		return
	}
	c.learnedSavedAt = t
	c.learnedStore.Save(learned.Snapshot{SavedAt: t, Learned: c.policy.Learned()})
}
