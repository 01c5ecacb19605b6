package systemsim

import "time"

// Times and bounds of clients.
const (
	callTimeout     = time.Second
	minRetryBackoff = 50 * time.Millisecond
	maxRetryBackoff = 400 * time.Millisecond
	maxAttempts     = 10
	drainTimeout    = 6 * time.Second // an endpoint whose drain nobody acknowledges deregisters then

	lateHeartbeatRatio = 8 // one in so many heartbeats arrives once more, late
	lateAtEndRatio     = 2 // in one of so many deregistrations a heartbeat from before arrives after it
	minLateness        = 500 * time.Millisecond
	maxLateness        = 6 * time.Second
)

// client is a machine that calls instances: an operator's or an endpoint's.
type client struct {
	process
	preferred  *instance // called at the first attempt, if set
	isOperator bool
}

func newClient(w *World, name string, zone int) client {
	return client{process: process{world: w, address: name, zone: zone, running: true, powered: true}}
}

// target chooses an instance for an attempt; the first is 0.
func (c *client) target(attempt int) *instance {
	if c.preferred != nil && attempt == 0 {
		return c.preferred
	}
	return c.world.instances[c.world.random.IntN(len(c.world.instances))]
}
