package registry

import (
	"time"

	"raventrestle/internal/control/departures"
	"raventrestle/internal/protocol"
)

// Input is an event for Step: one of the types below.
type Input interface{ input() }

// Heartbeat is an endpoint's report that arrived at this instance. RequestID names the request in Reply.
type Heartbeat struct {
	RequestID uint64
	Endpoint  protocol.Endpoint
}

// Deregister is an endpoint's announcement, made at this instance, that it ends.
type Deregister struct {
	RequestID uint64
	ID        string
}

// RecordedDepartures are departures that have been committed, in their order: at this instance, at others, or before all
// processes were started.
type RecordedDepartures struct{ Departures []RecordedDeparture }

// RecordedDeparture is a committed departure and how long ago the endpoint announced it, by the time of day.
type RecordedDeparture struct {
	departures.Departure
	Age time.Duration
}

// PeerMessage is a registry message of another instance, as a pointer to its type in package protocol.
type PeerMessage struct{ Content any }

// Peers lists the other instances that can be reached now, by the addresses of their transports.
type Peers struct{ Reachable []string }

// QuorumContact gives the newest moment at which this instance had contact with a majority of the voters; the zero time
// says that none is known. Without a fresh one the instance records what endpoints report but rejects their requests, so
// that they ask an instance where it takes effect.
type QuorumContact struct{ ConfirmedAt time.Time }

// Routers lists the routers connected to this instance by NameHash, sorted.
type Routers struct{ Connected []uint32 }

// RoutersConfirmed says that every connected router has in force all changes up to the revision. It is NoRouters when
// none is connected.
type RoutersConfirmed struct{ Revision uint64 }

// NoRouters is the confirmed revision when no router is connected: nobody has to confirm anything.
const NoRouters = ^uint64(0)

// RouterReport says what a router's own calls reveal of endpoints, by ID.
type RouterReport struct{ Unreachable, Reached []string }

// LocalLoading is a new table of the orders in flight, made by the placer of this instance.
type LocalLoading struct{ Table protocol.LoadingTable }

func (Heartbeat) input()          {}
func (Deregister) input()         {}
func (RecordedDepartures) input() {}
func (PeerMessage) input()        {}
func (Peers) input()              {}
func (QuorumContact) input()      {}
func (Routers) input()            {}
func (RoutersConfirmed) input()   {}
func (RouterReport) input()       {}
func (LocalLoading) input()       {}
