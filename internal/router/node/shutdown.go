package node

import (
	"context"
	"os"
	"syscall"
	"time"

	"raventrestle/internal/router/dispatch"
)

const (
	drainDelay          = 2300 * time.Millisecond // the platform's readiness probe, once a second, has failed twice by then
	selectiveAdmitDelay = 2800 * time.Millisecond // less than 3 s, from which on every accepted request must be answered before the exit

	exitMargin      = 400 * time.Millisecond // between the exit and SIGKILL
	interruptMargin = 200 * time.Millisecond // between the interruption and the exit, for the last answers
	rejectMargin    = 900 * time.Millisecond // between the rejection and the interruption: a connection that is being made succeeds or fails in it
)

// Bounds on the delays and margins above for short grace periods.
const (
	marginDivisor           = 8  // a margin takes at most this part of the grace period
	drainDivisor            = 4  // the last quarter of the time until the rejection is drained at the latest
	selectiveAdmitDivisor   = 8  // as above, for the last eighth
	acceptPercentAfterDrain = 40 // of the time from the drain to the interruption, in which new connections are accepted
)

// shutdownSchedule says when the steps of a graceful shutdown are taken, as times after SIGTERM. They are in this order
// for any grace period.
type shutdownSchedule struct {
	drain          time.Duration // idle connections are closed, and requests no longer wait for an endpoint for long
	selectiveAdmit time.Duration // only requests that will end before the interruption are admitted
	stopAccept     time.Duration // no connections are accepted any more; earlier if none is left
	reject         time.Duration // pending and new requests are rejected
	interrupt      time.Duration // attempts are interrupted; clients that have seen nothing of an answer get a 502
	exit           time.Duration
}

// newShutdownSchedule returns the schedule of a process that gets SIGKILL a grace period after SIGTERM.
func newShutdownSchedule(gracePeriod, drainDelay time.Duration) shutdownSchedule {
	maxMargin := gracePeriod / marginDivisor
	s := shutdownSchedule{exit: gracePeriod - min(exitMargin, maxMargin)}
	s.interrupt = s.exit - min(interruptMargin, maxMargin)
	s.reject = s.interrupt - min(rejectMargin, maxMargin)
	s.drain = min(drainDelay, s.reject*(drainDivisor-1)/drainDivisor)
	s.selectiveAdmit = min(selectiveAdmitDelay, s.reject*(selectiveAdmitDivisor-1)/selectiveAdmitDivisor)
	s.stopAccept = s.drain + (s.interrupt-s.drain)*acceptPercentAfterDrain/100
	return s
}

// shutDown fails the readiness probe, so that the platform sends new clients elsewhere, and then ends what is in flight
// by the schedule. Clients that come all the same, as too few routers are left, are served while there is time. A SIGHUP
// before the drain is obeyed.
func (n *Node) shutDown(signals <-chan os.Signal) {
	began := time.Now()
	schedule := newShutdownSchedule(n.config.Bounds.GracePeriod, n.drainDelay)
	n.shuttingDown.Store(true)
	n.dispatcher.BeginShutdown(dispatch.ShutdownStarted{
		QueueDeadline:          began.Add(schedule.drain),
		SelectiveAdmissionFrom: began.Add(schedule.selectiveAdmit),
		ShutdownDeadline:       began.Add(schedule.interrupt),
	})
	n.log.Info().Msg("router.ending")
	n.waitBeforeDrain(schedule.drain, signals)
	n.handler.Drain()
	_ = until(began.Add(schedule.stopAccept), n.server.DrainConnections) // connections that are left are served on
	if until(began.Add(schedule.reject), n.server.Shutdown) != nil {
		n.handler.RejectPending()
	}
	err := until(began.Add(schedule.interrupt), n.server.Shutdown)
	if err != nil {
		n.handler.InterruptAttempts()
		err = until(began.Add(schedule.exit), n.server.Shutdown)
	}
	n.log.Info().Dur("after", time.Since(began)).Bool("open", err != nil).Msg("router.ended")
}

// until runs a step with a context that ends at a time.
func until(deadline time.Time, step func(context.Context) error) error {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	return step(ctx)
}

// waitBeforeDrain waits for the drain delay and reloads the seeds at a SIGHUP.
func (n *Node) waitBeforeDrain(delay time.Duration, signals <-chan os.Signal) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			return
		case s := <-signals:
			if s == syscall.SIGHUP {
				n.reloadSeeds()
			}
		}
	}
}
