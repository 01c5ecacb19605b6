package courier

// Changes the settings of a running courier.

import (
	"context"

	"raventrestle"
	"raventrestle/internal/config"
)

// reconfigureMsg carries new settings; done receives the policy's error or nil.
type reconfigureMsg struct {
	conf *config.Config
	done chan<- error
}

// applyLimits sets the limits that Take enforces.
func (c *Courier) applyLimits(settings *raventrestle.Settings) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.maxMessages, c.maxDeadline = settings.MaxMessages, 0
	for _, class := range settings.Classes {
		c.maxDeadline = max(c.maxDeadline, class.Deadline)
	}
}

// Reconfigure switches to the settings of another configuration, which is changed to use the indices of the present one.
// If the policy rejects the settings, it returns the error and changes nothing. Messages in progress keep their class.
func (c *Courier) Reconfigure(ctx context.Context, conf *config.Config) error {
	done := make(chan error, 1)
	c.post(reconfigureMsg{conf, done})
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (c *Courier) reconfigure(ctx context.Context, conf *config.Config) error {
	conf.KeepIndices(c.conf)
	previous, settings := c.conf.Settings, &conf.Settings
	settings.MaxSendJitter = maxSendJitter
	if err := c.policy.Reconfigure(*settings); err != nil {
		return err
	}
	next := *c.conf
	next.Settings, next.Names = *settings, conf.Names
	c.conf = &next
	c.applyLimits(settings)
	c.watcher.SetConfig(settings, conf.Names)
	if previous.ConnectTimeout == settings.ConnectTimeout && previous.IdleTimeout == settings.IdleTimeout {
		return nil
	}
	for _, r := range c.peers { // peers take their timeouts when they start
		r.Stop()
		r.Peer = c.startPeer(ctx, r.entry)
	}
	return nil
}
