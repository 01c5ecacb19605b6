package systemsim

import (
	"time"
)

// Times of callers.
const (
	callTimeout     = time.Second
	minRetryBackoff = 50 * time.Millisecond
	maxRetryBackoff = 400 * time.Millisecond
	maxAttempts     = 10
	drainTimeout    = 6 * time.Second // of an endpoint whose draining nobody acknowledges
)

// client is a machine beside the world's processes that calls instances.
type client struct {
	process
	preferred  *instance // asked first, if set
	isOperator bool
}

func newClient(w *World, name string, zone int) client {
	return client{process: process{world: w, address: name, zone: zone, running: true, powered: true}}
}

// target chooses an instance for a try.
func (c *client) target(try int) *instance {
	if c.preferred != nil && try == 0 {
		return c.preferred
	}
	return c.world.instances[c.world.random.IntN(len(c.world.instances))]
}
