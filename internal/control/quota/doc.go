// Package quota divides each tenant's rate limit among the routers.
//
// The allocator is a pure state machine: Step takes the routers that are connected, their reports of demand and spending and
// their confirmations, and returns the grants to be sent. The host does all communication. One instance acts at a time,
// the leader of the singleton roles (internal/control/roles); it inherits no state from the leader before it.
//
// # Model
//
// A router has a token bucket for each tenant. Without a grant it refills the bucket at the floor, an even part of
// protocol.UngrantedRateShare of the tenant's rate, and its depth is an even part of the burst. A grant replaces both for
// a limited time: the floor plus an extra rate, and another depth. Beyond its bucket a router may incur a debt: an even
// part of protocol.OverdraftShare of the tolerance. Routers that report a shortfall (what their waiting requests lack)
// are granted credit as well: tokens added once, spent first, and lost when the grant ends.
//
// Extra rate, depth and credit are divided max-min fairly or in proportion to averaged demand (division.go, fair.go). How
// much there is to divide follows from the invariant.
//
// # Invariant
//
// In no window of Config.Window does a tenant spend more than the rule QUOTA allows, whichever messages are lost and
// however routers and instances are partitioned, provided that a grant that arrives later than
// Config.DeliveryTimeout after it was sent is never applied. headroom.go states how it is kept; TestNoWindowExceedsItsAllowance
// checks it with simulated routers.
package quota
