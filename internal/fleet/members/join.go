package members

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/hashicorp/memberlist"
)

const (
	firstWait = 100 * time.Millisecond
	seedsOnce = 3 // seeds tried in one round
	// settles is how often a courier that has joined asks a random member for everything once more, a third of a seeds'
	// interval apart on average: a seed that is asked while others join knows but a part of them.
	settles = 2
	pings   = 3 // to a life of the same name before it counts as dead
)

// backoff returns waits that double up to the seeds' interval, each drawn from all of it (full jitter): couriers that
// lost the fleet at one moment come back apart. The library's own jitter draws from a source of its own, so it is off.
func (g *Group) backoff() func() time.Duration {
	b := &backoff.ExponentialBackOff{InitialInterval: min(firstWait, g.cfg.SeedsInterval), Multiplier: 2, MaxInterval: g.cfg.SeedsInterval}
	return func() time.Duration { return time.Duration(g.chance.Float64() * float64(b.NextBackOff())) }
}

// healing is the wait of one of n couriers until it tries a seed that is not up. Drawn from an exponential of n periods,
// the tries of all n are one a period on average, and drawing anew when n changes changes nothing but n.
func (g *Group) healing(n int) time.Duration {
	return time.Duration(min(g.chance.ExpFloat64(), 20) * float64(n) * float64(g.cfg.SeedsInterval))
}

// keepJoined tries seeds for as long as the group runs: all of them while alone, one that is not up now and then
// otherwise, so that two halves of a fleet find each other after a cut that outlasted memberlist's memory.
func (g *Group) keepJoined(ctx context.Context, list *memberlist.Memberlist) {
	wait, alone, settle := g.backoff(), true, settles
	joined := func(n int) time.Duration {
		if alone = false; settle > 0 {
			return g.healing(1) / 3
		}
		return g.healing(n)
	}
	pause := time.Duration(0) // the first try: start times are the operators' or chance's
	for {
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-g.view.changed:
			timer.Stop()
			n := len(g.Alive())
			if was := alone; n > 1 {
				pause = joined(n)
			} else if alone = true; !was {
				wait, settle = g.backoff(), settles
				pause = wait()
			}
			continue
		case <-timer.C:
		}
		seeds := g.absent()
		if !alone {
			seeds = seeds[:min(1, len(seeds))]
		}
		if others := g.others(); !alone && settle > 0 {
			settle--
			if len(others) > 0 {
				seeds = []netip.AddrPort{others[g.chance.IntN(len(others))]}
			}
		}
		for _, seed := range seeds[:min(seedsOnce, len(seeds))] {
			if ctx.Err() != nil {
				return
			}
			g.Counters.JoinsTried.Add(1)
			if _, err := list.Join([]string{seed.String()}); err == nil {
				g.Counters.Joins.Add(1)
				break
			}
		}
		if n := len(g.Alive()); n > 1 {
			pause = joined(n)
		} else {
			pause = wait()
		}
	}
}

// others are the members' addresses, without this one's.
func (g *Group) others() []netip.AddrPort {
	var all []netip.AddrPort
	for _, m := range g.Alive() {
		if m.Name != g.cfg.Name {
			all = append(all, m.Addr)
		}
	}
	return all
}

// absent are the seeds that are not up, in random order.
func (g *Group) absent() []netip.AddrPort {
	up := g.view.up()
	seeds := slices.DeleteFunc(slices.Clone(g.cfg.Seeds), func(a netip.AddrPort) bool { return up[a] || a == g.cfg.Advertise })
	g.chance.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	return seeds
}

// tell calls the host's hooks and looks into other lives of this courier's name.
func (g *Group) tell(ctx context.Context, list *memberlist.Memberlist) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.renew:
			if err := list.UpdateNode(tcpTime); err != nil {
				g.log.Debug("fleet_renew", "error", err.Error()) // it is in the exchange of members all the same
			}
			g.Counters.Renewals.Add(1)
			continue
		case <-g.view.told:
		}
		events, rivals := g.view.take()
		if g.cfg.Events != nil {
			for _, e := range events {
				g.cfg.Events(e)
			}
		}
		for _, r := range rivals {
			g.contest(ctx, list, r)
		}
	}
}

// contest decides between this life and another of the same name. The other is of a smaller epoch: it hears the same of
// this one, and gives way. Of the same: both draw anew. Of a larger: if it answers, it wins.
func (g *Group) contest(ctx context.Context, list *memberlist.Memberlist, r life) {
	own := g.epoch.Load()
	if r.Epoch < own {
		return
	}
	if r.Epoch > own && r.Addr != g.cfg.Advertise {
		addr := net.UDPAddrFromAddrPort(r.Addr)
		for i := 0; i < pings && ctx.Err() == nil; i++ {
			if _, err := list.Ping(r.node.Name, addr); err == nil {
				g.Counters.Superseded.Add(1)
				if g.cfg.Superseded != nil {
					g.cfg.Superseded(r.Member)
				}
				return
			}
		}
	}
	g.Counters.Outgrown.Add(1)
	if g.cfg.Outgrown != nil && ctx.Err() == nil {
		g.cfg.Outgrown(r.Epoch)
	}
}
