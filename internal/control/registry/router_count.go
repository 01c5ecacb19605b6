package registry

import "time"

// routerCount knows the routers of all instances. A router that moves between instances counts once, one
// that vanished counts for a while longer: too high a count costs little, too low a count breaks limits.
type routerCount struct {
	own  []uint32
	seen map[uint32]time.Time // until when each counts
}

func newRouterCount() routerCount {
	return routerCount{seen: make(map[uint32]time.Time)}
}

func (c *routerCount) refresh(now time.Time, peers map[string]*peer) {
	for _, router := range c.own {
		c.seen[router] = now.Add(routerTTL)
	}
	for _, p := range peers {
		linger := routerTTL
		if !p.reachable && now.Sub(p.unreachableSince) < unreachablePeerRouterTTL {
			linger = unreachablePeerRouterTTL - now.Sub(p.unreachableSince)
		}
		if !p.reachable && now.Sub(p.unreachableSince) >= unreachablePeerRouterTTL {
			continue
		}
		for _, router := range p.routers {
			c.seen[router] = latest(c.seen[router], now.Add(linger))
		}
	}
	for router, until := range c.seen {
		if now.After(until) {
			delete(c.seen, router)
		}
	}
}

func (r *Registry) routerCount() int {
	if !r.complete {
		return 0
	}
	return len(r.routers.seen)
}
