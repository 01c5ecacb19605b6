package emulator

// Channel faults, restarts and kills during a run.

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// channelByDest returns the channel with the destination, or nil.
func (em *Emulation) channelByDest(dest int64) *Channel {
	for _, c := range em.Channels {
		if c.Dest == dest {
			return c
		}
	}
	return nil
}

// runChannelFaults executes the faults of channels and the outages of discovery.
func (em *Emulation) runChannelFaults(ctx context.Context) {
	var faults sync.WaitGroup
	for _, o := range em.DiscoveryOutages {
		faults.Go(func() {
			if sleepUntil(ctx, em.start.Add(o.At)) {
				em.Log.Info("trouble", "discovery", "out", "for", o.For)
				em.Discovery.SetOutage(true)
				sleepUntil(ctx, em.start.Add(o.At+o.For))
				em.Discovery.SetOutage(false)
			}
		})
	}
	for _, t := range em.ChannelFaults {
		c := em.channelByDest(t.Dest)
		if c == nil {
			continue
		}
		faults.Go(func() {
			if !sleepUntil(ctx, em.start.Add(t.At)) {
				return
			}
			em.Log.Info("trouble", "channel", t.Dest, "mode", t.Mode, "for", t.For)
			if t.Drain {
				em.Discovery.SetStatus(c.Endpoints[0], "DRAINING")
				sleepUntil(ctx, em.start.Add(t.At+t.For))
				em.Discovery.SetStatus(c.Endpoints[0], "SERVING")
				return
			}
			c.SetMode(t.Mode, time.Now())
			for _, e := range c.Endpoints {
				if e.Floor == t.DeletedFloor {
					em.Discovery.SetStatus(e, "DELETED")
				}
			}
			sleepUntil(ctx, em.start.Add(t.At+t.For))
			c.SetMode(ModeHealthy, time.Now())
		})
	}
	faults.Wait()
}

// runRestarts executes the planned restarts of couriers.
func (em *Emulation) runRestarts(ctx context.Context) error {
	var restarts errgroup.Group
	for _, r := range em.Restarts {
		restarts.Go(func() error {
			if !sleepUntil(ctx, em.start.Add(r.At)) {
				return nil
			}
			c := em.Couriers[r.Courier]
			em.Log.Info("restart", "courier", r.Courier, "term", r.Term, "down", r.Down)
			if r.Term {
				if err := c.Stop(); err != nil {
					return err
				}
			} else {
				c.Kill()
			}
			return em.restartCourier(ctx, c, r.Down)
		})
	}
	return restarts.Wait()
}

// restartCourier waits for the downtime and starts the courier again with the list that it was last sent. It is not
// cancelled by the end of the run, which waits for it.
func (em *Emulation) restartCourier(ctx context.Context, c *Courier, down time.Duration) error {
	time.Sleep(down)
	for _, ch := range em.Channels {
		for _, e := range ch.Endpoints {
			e.ClearWaits(c.N)
		}
	}
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), em.ReadyTimeout)
	defer stop()
	if err := c.SetKnownList(em.Discovery.LastSentList(c.N)); err != nil {
		return err
	}
	return c.Start(ctx)
}

// runKills kills couriers that have a resend in flight, up to 60 ms after it began, and starts them again.
func (em *Emulation) runKills(ctx context.Context) error {
	rnd := rand.New(rand.NewPCG(em.Seed, 2))
	var restarts errgroup.Group
	for kills := 0; kills < em.Kills; {
		select {
		case <-ctx.Done():
			return restarts.Wait()
		case n := <-em.resendingCouriers:
			c := em.Couriers[n]
			time.Sleep(time.Duration(rnd.Int64N(int64(60 * time.Millisecond))))
			if !c.Kill() {
				continue
			}
			kills++
			restarts.Go(func() error { return em.restartCourier(ctx, c, em.RestartDelay) })
			sleepUntil(ctx, time.Now().Add(em.KillInterval))
			for len(em.resendingCouriers) > 0 { // discard the resends from before the kill
				<-em.resendingCouriers
			}
		}
	}
	<-ctx.Done()
	return restarts.Wait()
}

// KillCount returns the number of SIGKILLs so far.
func (em *Emulation) KillCount() (n int) {
	for _, c := range em.Couriers {
		n += c.Kills
	}
	return n
}
