package subscription

import (
	"errors"
	"time"

	"raventrestle/internal/protocol"
	"raventrestle/internal/router/dispatch"
)

// ConnectionID names a connection within the process; the decider chooses the numbers and uses none twice.
type ConnectionID uint64

// Input is something that happened: one of the types below.
type Input interface{ input() }

// Opened: a connection that was asked for by Dial is up.
type Opened struct{ Connection ConnectionID }

// Ended: a connection could not be made, or has ended. After a Close by the decider it may come or not.
type Ended struct {
	Connection ConnectionID
	Err        error
}

// Received: a message came on a connection: *protocol.Update, *protocol.Beacon or *protocol.Probed.
type Received struct {
	Connection ConnectionID
	Message    any
}

// Applied: the change that Output.Apply asked for is in force, or failed. An error that is ErrDocument says that its
// configuration can't be used.
type Applied struct{ Err error }

// SeedsRead: the addresses of the settings' seeds.
type SeedsRead struct{ Addresses []string }

// Demand: a report for the control plane.
type Demand struct{ Report protocol.Report }

func (Opened) input()    {}
func (Ended) input()     {}
func (Received) input()  {}
func (Applied) input()   {}
func (SeedsRead) input() {}
func (Demand) input()    {}

// Dial asks for a connection to an instance.
type Dial struct {
	Connection ConnectionID
	Address    string
}

// Send is a message for an instance. Messages of one connection keep their order.
type Send struct {
	Connection ConnectionID
	Message    any
}

// Change is what an update changes.
type Change struct {
	View       dispatch.ViewChanged // without the configuration, which the host reads from Document
	Generation int64                // of Document
	Document   []byte               // as the update carries it: see protocol.UnpackDocument; nil: unchanged
}

// Output is what the host carries out: Dial, Send, then Close.
type Output struct {
	Dial      []Dial
	Send      []Send
	Close     []ConnectionID
	Apply     *Change // put in force, then return Applied; no further one is asked for until then
	ReadSeeds bool    // read the settings' seeds and return SeedsRead
	Events    []Event
	Follows   string // address of the instance that is followed; empty: none
	Settled   bool   // that instance has proved a contact with a majority that is within Limits.Stale
	// ConfirmedAt is the newest moment before which all versions of the configuration that were acknowledged
	// anywhere are in force here; zero: none is known.
	ConfirmedAt time.Time
	Ready       bool
	WakeAt      time.Time // Step again then at the latest
}

// Limits bound the age of what a router goes by.
type Limits struct {
	// Stale is the age of an instance's newest contact with a majority, from which on the router looks for another
	// instance.
	Stale time.Duration
}

// Identity is what a router tells of itself.
type Identity struct {
	Node        string
	Zone        string
	Incarnation uint64
}

// Event is told to people: one of the types below.
type Event interface{ event() }

// Following: updates of this instance are in force.
type Following struct{ Instance string }

// Left: this instance is not followed any more.
type Left struct {
	Instance string
	Err      error
}

// Unreachable: no instance has been followed since the last event.
type Unreachable struct {
	Instance string // that was tried last
	Err      error
}

// ConfigurationInForce: requests are handled by this version from now on.
type ConfigurationInForce struct{ Generation int64 }

// BecameReady: the newest configuration and the endpoints are in force.
type BecameReady struct{}

func (Following) event()            {}
func (Left) event()                 {}
func (Unreachable) event()          {}
func (ConfigurationInForce) event() {}
func (BecameReady) event()          {}

// Reasons for leaving an instance, or for not following it.
var (
	ErrSilent   = errors.New("instance is silent")
	ErrSequence = errors.New("an update is missing")
	ErrNearer   = errors.New("an instance of the own zone is there")
	ErrBehind   = errors.New("instance keeps the newest configuration back")
	ErrDocument = errors.New("configuration can't be used")
	ErrStale    = errors.New("instance proves no fresh contact with a majority, another one does")
	ErrEpoch    = errors.New("instance is in an earlier epoch than another one")
	ErrTimeout  = errors.New("instance does not answer")
)
