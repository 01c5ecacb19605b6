package controller

import (
	"time"

	"raventrestle/internal/control/distribution"
)

const (
	// BarrierTimeout bounds how long the host waits for a barrier.
	BarrierTimeout = 1500 * time.Millisecond

	barrierBackoff = 200 * time.Millisecond // after a failed barrier
)

// barrierState allows one barrier at a time. A barrier passes through the chain on behalf of all routers that subscribed
// before it started, so one is enough.
type barrierState struct {
	inFlight bool
	retryAt  time.Time // none may start before; zero: one may start at once
}

// finishBarrier takes in how a barrier ended. The step asks for another where one is still needed.
func (c *Controller) finishBarrier(now time.Time, in BarrierFinished) {
	c.barrier.inFlight = false
	if !in.Succeeded {
		c.barrier.retryAt = now.Add(barrierBackoff)
		return
	}
	c.toHub(distribution.BarrierPassed{Barrier: in.Number})
}

// startBarrier starts the barrier that the hub needs, if any, unless one is in flight or has just failed.
func (c *Controller) startBarrier(now time.Time, number uint64) {
	if !now.Before(c.barrier.retryAt) {
		c.barrier.retryAt = time.Time{}
	}
	if number == 0 || c.barrier.inFlight || !c.barrier.retryAt.IsZero() {
		return
	}
	c.barrier.inFlight = true
	c.out.StartBarrier = number
}
