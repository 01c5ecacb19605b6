package emulator

// What goes wrong in a world, and when.

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

func (w *World) channel(dest int64) *Channel {
	for _, c := range w.Channels {
		if c.Dest == dest {
			return c
		}
	}
	return nil
}

func (w *World) troubles(ctx context.Context) {
	var all sync.WaitGroup
	for _, o := range w.ListOut {
		all.Go(func() {
			if until(ctx, w.start.Add(o.At)) {
				w.Log.Info("trouble", "discovery", "out", "for", o.For)
				w.Discovery.Out(true)
				until(ctx, w.start.Add(o.At+o.For))
				w.Discovery.Out(false)
			}
		})
	}
	for _, t := range w.Troubles {
		c := w.channel(t.Dest)
		if c == nil {
			continue
		}
		all.Go(func() {
			if !until(ctx, w.start.Add(t.At)) {
				return
			}
			w.Log.Info("trouble", "channel", t.Dest, "mode", t.Mode, "for", t.For)
			if t.Drain {
				w.Discovery.Mark(c.Endpoints[0], "DRAINING")
				until(ctx, w.start.Add(t.At+t.For))
				w.Discovery.Mark(c.Endpoints[0], "SERVING")
				return
			}
			c.Set(t.Mode, time.Now())
			for _, e := range c.Endpoints {
				if e.Floor == t.Gone {
					w.Discovery.Mark(e, "DELETED")
				}
			}
			until(ctx, w.start.Add(t.At+t.For))
			c.Set(ModeHealthy, time.Now())
		})
	}
	all.Wait()
}

// restarts plays the planned ends of couriers.
func (w *World) restarts(ctx context.Context) error {
	var all errgroup.Group
	for _, r := range w.Restarts {
		all.Go(func() error {
			if !until(ctx, w.start.Add(r.At)) {
				return nil
			}
			c := w.Couriers[r.Courier]
			w.Log.Info("restart", "courier", r.Courier, "term", r.Term, "down", r.Down)
			if r.Term {
				if err := c.Stop(); err != nil {
					return err
				}
			} else {
				c.Kill()
			}
			return w.back(ctx, c, r.Down)
		})
	}
	return all.Wait()
}

// back starts a courier again that has been down for so long, with the list that it last held. A run
// that ends meanwhile still waits for it.
func (w *World) back(ctx context.Context, c *Courier, down time.Duration) error {
	time.Sleep(down)
	for _, ch := range w.Channels {
		for _, e := range ch.Endpoints {
			e.Restarted(c.N)
		}
	}
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), w.ReadyWithin)
	defer stop()
	if err := c.Know(w.Discovery.Held(c.N)); err != nil {
		return err
	}
	return c.Start(ctx)
}

// killer ends couriers that have a resend out, at a random moment of it, and starts them again.
func (w *World) killer(ctx context.Context) error {
	rnd := rand.New(rand.NewPCG(w.Seed, 2))
	var all errgroup.Group
	for kills := 0; kills < w.Kills; {
		select {
		case <-ctx.Done():
			return all.Wait()
		case n := <-w.resends:
			c := w.Couriers[n]
			time.Sleep(time.Duration(rnd.Int64N(int64(60 * time.Millisecond))))
			if !c.Kill() {
				continue
			}
			kills++
			all.Go(func() error { return w.back(ctx, c, w.Down) })
			until(ctx, time.Now().Add(w.KillGap))
			for len(w.resends) > 0 { // those of before the kill
				<-w.resends
			}
		}
	}
	<-ctx.Done()
	return all.Wait()
}

// KillCount is how many SIGKILLs there were.
func (w *World) KillCount() (n int) {
	for _, c := range w.Couriers {
		n += c.Kills
	}
	return n
}
