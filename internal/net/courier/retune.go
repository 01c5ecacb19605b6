package courier

// Other settings for a courier that runs.

import (
	"context"

	"raventrestle"
	"raventrestle/internal/config"
)

// retuneMsg are other settings; the answer says whether the module works with them.
type retuneMsg struct {
	conf *config.Config
	done chan<- error
}

// bound takes what Take goes by out of the settings.
func (c *Courier) bound(set *raventrestle.Settings) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.most, c.longest = set.MaxMessages, 0
	for _, class := range set.Classes {
		c.longest = max(c.longest, class.Deadline)
	}
}

// Retune makes the courier go by the settings of another configuration, which gets the indices of the one it
// has, or returns the module's error and changes nothing. Messages under way keep their class.
func (c *Courier) Retune(ctx context.Context, conf *config.Config) error {
	done := make(chan error, 1)
	c.post(retuneMsg{conf, done})
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (c *Courier) retune(ctx context.Context, conf *config.Config) error {
	conf.KeepIndices(c.conf)
	was, set := c.conf.Settings, &conf.Settings
	set.MaxSendJitter = lag
	if err := c.policy.Reconfigure(*set); err != nil {
		return err
	}
	next := *c.conf
	next.Settings, next.Names = *set, conf.Names
	c.conf = &next
	c.bound(set)
	c.group.Serve(set, conf.Names)
	if was.ConnectTimeout == set.ConnectTimeout && was.IdleTimeout == set.IdleTimeout {
		return nil
	}
	for _, r := range c.peers { // their connections go by the new times
		r.Stop()
		r.Peer = c.peer(ctx, r.entry)
	}
	return nil
}
