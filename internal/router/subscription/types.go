package subscription

import (
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

// Applied: the change that Output.Apply asked for is in force, or failed.
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

// Output is what the host carries out: Dial, Send, then Close.
type Output struct {
	Dial      []Dial
	Send      []Send
	Close     []ConnectionID
	Apply     *dispatch.ViewChanged // put in force, then return Applied; no further one is asked for until then
	ReadSeeds bool                  // read the settings' seeds and return SeedsRead
	Events    []Event
	// ConfirmedAt is the newest moment before which all versions of the configuration that were acknowledged
	// anywhere are in force here; zero: none is known.
	ConfirmedAt time.Time
	Ready       bool
	WakeAt      time.Time // Step again then at the latest
}

// Event is told to people.
type Event interface{ event() }
