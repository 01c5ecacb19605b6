package registry

import "time"

// routerCount counts the routers of all instances. A router that moves between instances counts once. One that
// disconnected counts for some time longer: too high a count costs little, too low a count lets the routers together
// exceed shared limits.
type routerCount struct {
	own     []uint32             // connected here, by NameHash
	expires map[uint32]time.Time // until when each router counts
}

func newRouterCount() routerCount {
	return routerCount{expires: make(map[uint32]time.Time)}
}

// handleRouters takes in which routers are connected here. The peers get the new set with the next digest.
func (r *Registry) handleRouters(now time.Time, in Routers) {
	r.routers.own = in.Connected
	for _, p := range r.peersByAddress {
		p.routersSent = false
	}
	r.routers.refresh(now, r.peers)
}

// refresh renews the routers that are connected to this instance or a peer, and drops expired ones.
func (c *routerCount) refresh(now time.Time, peers map[string]*peer) {
	for _, router := range c.own {
		c.expires[router] = now.Add(routerTTL)
	}
	for _, p := range peers {
		ttl := routerTTL
		if !p.reachable {
			ttl = unreachablePeerRouterTTL - now.Sub(p.unreachableSince)
			if ttl <= 0 {
				continue
			}
		}
		for _, router := range p.routers {
			c.expires[router] = latest(c.expires[router], now.Add(ttl))
		}
	}
	for router, expires := range c.expires {
		if now.After(expires) {
			delete(c.expires, router)
		}
	}
}

// routerCount returns how many routers all instances have, or 0 while the table is not complete.
func (r *Registry) routerCount() int {
	if !r.complete {
		return 0
	}
	return len(r.routers.expires)
}
