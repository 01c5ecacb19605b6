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
	initialBackoff   = 100 * time.Millisecond
	maxSeedsPerRound = 3 // seeds tried in one round
	// extraExchanges is how often a member that has joined requests the full state of a random member again, on average
	// after a third of a seeds interval: a seed that is asked while others join knows only some of them.
	extraExchanges = 2
	conflictPings  = 3 // to another incarnation of the same name, before it is considered dead
)

// newBackoff returns a function for waits that double up to the seeds interval, with full jitter: members that lost
// the fleet at the same time return at different times. The library's own jitter is off, as it uses its own random source.
func (g *Group) newBackoff() func() time.Duration {
	b := &backoff.ExponentialBackOff{InitialInterval: min(initialBackoff, g.cfg.SeedsInterval), Multiplier: 2, MaxInterval: g.cfg.SeedsInterval}
	return func() time.Duration { return time.Duration(g.rng.Float64() * float64(b.NextBackOff())) }
}

// seedRetryWait returns how long one of n members waits until it tries a seed that is not up. The waits have an
// exponential distribution with a mean of n intervals, so all n members together try once per interval on average. The
// distribution is memoryless, so drawing again when n changes has no other effect.
func (g *Group) seedRetryWait(n int) time.Duration {
	return time.Duration(min(g.rng.ExpFloat64(), 20) * float64(n) * float64(g.cfg.SeedsInterval))
}

// maintainJoins tries seeds while the group runs: all of them while this member is alone, and otherwise sometimes one
// that is not up, so that two halves of a fleet find each other after a partition that outlasted memberlist's memory.
func (g *Group) maintainJoins(ctx context.Context, list *memberlist.Memberlist) {
	nextBackoff, alone, exchangesLeft := g.newBackoff(), true, extraExchanges
	joinedWait := func(n int) time.Duration {
		if alone = false; exchangesLeft > 0 {
			return g.seedRetryWait(1) / 3
		}
		return g.seedRetryWait(n)
	}
	wait := time.Duration(0) // the first attempt is immediate, as start times already differ
	for {
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-g.view.listChanged:
			timer.Stop()
			n := len(g.Alive())
			if wasAlone := alone; n > 1 {
				wait = joinedWait(n)
			} else if alone = true; !wasAlone {
				nextBackoff, exchangesLeft = g.newBackoff(), extraExchanges
				wait = nextBackoff()
			}
			continue
		case <-timer.C:
		}
		seeds := g.absentSeeds()
		if !alone {
			seeds = seeds[:min(1, len(seeds))]
		}
		if others := g.otherMembers(); !alone && exchangesLeft > 0 {
			exchangesLeft--
			if len(others) > 0 {
				seeds = []netip.AddrPort{others[g.rng.IntN(len(others))]}
			}
		}
		for _, seed := range seeds[:min(maxSeedsPerRound, len(seeds))] {
			if ctx.Err() != nil {
				return
			}
			g.Counters.JoinAttempts.Add(1)
			if _, err := list.Join([]string{seed.String()}); err == nil {
				g.Counters.Joins.Add(1)
				break
			}
		}
		if n := len(g.Alive()); n > 1 {
			wait = joinedWait(n)
		} else {
			wait = nextBackoff()
		}
	}
}

// otherMembers returns the addresses of all live members except this one.
func (g *Group) otherMembers() []netip.AddrPort {
	var all []netip.AddrPort
	for _, m := range g.Alive() {
		if m.Name != g.cfg.Name {
			all = append(all, m.Addr)
		}
	}
	return all
}

// absentSeeds returns the seeds that are not up, in random order.
func (g *Group) absentSeeds() []netip.AddrPort {
	up := g.view.upAddrs()
	seeds := slices.DeleteFunc(slices.Clone(g.cfg.Seeds), func(a netip.AddrPort) bool { return up[a] || a == g.cfg.Advertise })
	g.rng.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	return seeds
}

// runHooks announces new epochs, calls the hooks, and resolves conflicts with other incarnations of this member's name.
func (g *Group) runHooks(ctx context.Context, list *memberlist.Memberlist) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.epochChanged:
			if err := list.UpdateNode(tcpTimeout); err != nil {
				g.log.Debug("fleet_renew", "error", err.Error()) // the next exchange of member lists carries it anyway
			}
			g.Counters.Renewals.Add(1)
			continue
		case <-g.view.hooksPending:
		}
		events, conflicts := g.view.takePending()
		if g.cfg.Events != nil {
			for _, e := range events {
				g.cfg.Events(e)
			}
		}
		for _, r := range conflicts {
			g.resolveConflict(ctx, list, r)
		}
	}
}

// resolveConflict decides between this incarnation and another one of the same name. If the other has a smaller epoch,
// it receives this one's and is superseded. If the epochs are equal, both choose new ones. If the other has a larger
// epoch, this one is superseded if the other answers, and otherwise needs a larger epoch.
func (g *Group) resolveConflict(ctx context.Context, list *memberlist.Memberlist, other incarnation) {
	own := g.epoch.Load()
	if other.Epoch < own {
		return
	}
	if other.Epoch > own && other.Addr != g.cfg.Advertise {
		addr := net.UDPAddrFromAddrPort(other.Addr)
		for i := 0; i < conflictPings && ctx.Err() == nil; i++ {
			if _, err := list.Ping(other.node.Name, addr); err == nil {
				g.Counters.Superseded.Add(1)
				if g.cfg.Superseded != nil {
					g.cfg.Superseded(other.Member)
				}
				return
			}
		}
	}
	g.Counters.EpochTooLow.Add(1)
	if g.cfg.EpochTooLow != nil && ctx.Err() == nil {
		g.cfg.EpochTooLow(other.Epoch)
	}
}
