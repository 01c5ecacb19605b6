package distribution

import (
	"time"

	"raventrestle/internal/protocol"
)

// ConnectionID names a router's connection within the process; numbers are not used again.
type ConnectionID uint64

// Input is something that happened: one of the types below.
type Input interface{ input() }

// Subscribed is an input: a router asked for updates on its connection.
type Subscribed struct {
	Connection ConnectionID
	Router     protocol.Subscribe
}

// UpdateConfirmed is an input: a router has an update in force, and with it all earlier ones.
type UpdateConfirmed struct {
	Connection ConnectionID
	Sequence   uint64 // of the update
	Echo       uint64 // returned in the freshness proof of later messages; 0: none
}

// Probed is an input: who is on the connection, subscribed or not, asks for the instance's freshness proof.
type Probed struct {
	Connection ConnectionID
	Echo       uint64 // returned in the freshness proof of later messages
}

// ConnectionClosed is an input: the connection ended.
type ConnectionClosed struct{ Connection ConnectionID }

// Configuration is an input: a version is committed.
type Configuration struct {
	Generation int64
	Document   []byte // as updates carry it; must not be changed any more
}

// BarrierPassed is an input: the barrier that Output.StartBarrier named has passed.
type BarrierPassed struct{ Barrier uint64 }

// Members is an input: all control instances that are known.
type Members struct{ Members []protocol.Member }

// QuorumContact is an input: the newest proof that this instance has of a contact with a majority of the voters. All
// versions that were acknowledged anywhere before ConfirmedAt must have been given as Configuration before.
type QuorumContact struct {
	Epoch       uint64    // in which the majority was; without a contact, of the instance's view; 0: it is no member yet
	ConfirmedAt time.Time // zero: there was none
}

// Endpoints is an input: what the registry has of endpoints and routers.
type Endpoints struct {
	Changed     []protocol.Endpoint
	Revision    uint64 // of the table, with Changed
	Urgent      bool   // Changed must not wait for others
	RouterCount int    // routers of all instances; 0 while unknown
	Complete    bool   // the table lacks nothing that other instances know
}

func (Subscribed) input()       {}
func (UpdateConfirmed) input()  {}
func (ConnectionClosed) input() {}
func (Configuration) input()    {}
func (BarrierPassed) input()    {}
func (Members) input()          {}
func (QuorumContact) input()    {}
func (Probed) input()           {}
func (Endpoints) input()        {}

// Table gives the table of endpoints; the hub asks for it where a router needs all of it. With tombstones a router may
// merge it into its own table; without them it is a snapshot and may replace that.
type Table func(includeTombstones bool) []protocol.Endpoint
