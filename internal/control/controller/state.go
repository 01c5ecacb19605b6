package controller

import (
	"time"

	"raventrestle/internal/protocol"
)

// Endpoints returns the table of endpoints as routers see it, by ID. It must not be changed.
func (c *Controller) Endpoints(now time.Time) []protocol.Endpoint { return c.registry.Endpoints(now) }

// Routers returns the names of the routers connected here.
func (c *Controller) Routers() []string { return c.hub.Connected() }

// RouterCount returns how many routers all instances have, 0 while unknown.
func (c *Controller) RouterCount() int { return c.advertised.RouterCount }

// Members returns all control instances that are known, by identity. They must not be changed.
func (c *Controller) Members() []protocol.Member { return c.replica.members }

// QuorumLost says whether this instance had, when membership was derived last, been without contact with a majority of the
// voters for quorumContactTTL, or always: the condition that the registry calls quorum lost.
func (c *Controller) QuorumLost() bool { return c.replica.quorumLost }

// ConfirmedAt returns the newest moment of which this instance knows everything that was acknowledged anywhere before;
// zero: it knows of none. It never moves back.
func (c *Controller) ConfirmedAt() time.Time { return c.replica.contact.ConfirmedAt }
