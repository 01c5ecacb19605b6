// Package host runs the soft state of one control instance: one goroutine owns the registry of endpoints and
// the routers' subscriptions, works through a queue of typed commands and carries out what they decide.
package host

import (
	"time"

	"raventrestle/internal/control/distribution"
	"raventrestle/internal/control/registry"
	"raventrestle/internal/protocol"
)

// Desk joins the registry and the routers' subscriptions. It is pure.
type Desk struct {
	registry *registry.Registry
	hub      *distribution.Hub
	told     distribution.Endpoints // what the hub was told last, without changes
}

// NewDesk returns a desk that knows nothing yet.
func NewDesk(settings registry.Config, now time.Time) *Desk {
	return &Desk{registry: registry.New(settings, now), hub: distribution.New(now)}
}

// News is what happened since the last step.
type News struct {
	Registry []registry.Input
	Hub      []distribution.Input
}

// Orders is what the host carries out, in this order: messages to routers and instances, closings,
// acknowledgements.
type Orders struct {
	Routers     []distribution.Send
	Peers       []registry.Send
	Close       []distribution.Closing
	Joined      []protocol.Subscribe
	Acknowledge []registry.Reply
	Granted     []protocol.GrantConfirmed // for the holder of the quota allocator's role
	Barrier     uint64                    // begin a barrier now; 0: none is needed
	WakeAt      time.Time
}

// Step takes in what happened.
func (d *Desk) Step(now time.Time, news News) Orders {
	table := func(withGone bool) []protocol.Endpoint {
		if withGone {
			return d.registry.EndpointsAndTombstones(now)
		}
		return d.registry.Endpoints(now)
	}
	first := d.hub.Step(now, table, news.Hub...)
	inputs := news.Registry
	if first.Routers {
		inputs = append(inputs, registry.Routers{Connected: d.routerHashes()})
	}
	inputs = append(inputs, registry.RoutersConfirmed{Revision: first.Floor})
	changes := d.registry.Step(now, inputs...)
	orders := Orders{
		Routers:     first.Send,
		Close:       first.Close,
		Joined:      first.Joined,
		Granted:     first.Granted,
		Peers:       changes.Send,
		Acknowledge: changes.Replies,
		Barrier:     first.Barrier,
		WakeAt:      first.WakeAt,
	}
	if d.isNews(changes) {
		second := d.hub.Step(now, table, distribution.Endpoints{
			Changed:  changes.Changed,
			Revision: changes.Revision,
			Urgent:   changes.Urgent,
			Routers:  changes.RouterCount,
			Whole:    changes.Complete,
		})
		orders.Routers = append(orders.Routers, second.Send...)
		orders.Close = append(orders.Close, second.Close...)
		orders.Barrier = second.Barrier
		orders.WakeAt = second.WakeAt
	}
	orders.WakeAt = mergeWakes(orders.WakeAt, changes)
	return orders
}

func (d *Desk) isNews(out registry.Output) bool {
	now := distribution.Endpoints{Routers: out.RouterCount, Whole: out.Complete}
	isNews := len(out.Changed) > 0 || now.Routers != d.told.Routers || now.Whole != d.told.Whole
	d.told = now
	return isNews
}

func (d *Desk) routerHashes() []uint32 {
	nodes := d.hub.Connected()
	hashes := make([]uint32, len(nodes))
	for i, node := range nodes {
		hashes[i] = registry.NameHash(node)
	}
	return hashes
}

// mergeWakes lets the registry's tick ride on the hub's beacons where it may.
func mergeWakes(hub time.Time, out registry.Output) time.Time {
	switch {
	case hub.IsZero():
		return out.WakeAt
	case out.WakeDeferrable && out.WakeAt.Before(hub) && hub.Sub(out.WakeAt) <= distribution.BeaconEvery:
		return hub
	case out.WakeAt.Before(hub):
		return out.WakeAt
	}
	return hub
}

// Endpoints returns the whole table.
func (d *Desk) Endpoints(now time.Time) []protocol.Endpoint { return d.registry.Endpoints(now) }

// RouterCount returns how many routers all instances have, 0 while unknown.
func (d *Desk) RouterCount() int { return d.told.Routers }

// Routers returns the names of the routers connected here.
func (d *Desk) Routers() []string { return d.hub.Connected() }
