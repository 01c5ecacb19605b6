package controller

import (
	"time"

	"raventrestle/coordination/replica"
	"raventrestle/internal/control/departures"
	"raventrestle/internal/protocol"
)

// Connection is the host's handle of a connection: any comparable value. The controller compares handles and hands them
// back; it doesn't look into them.
type Connection any

// Caller is the host's handle of a call that waits for its Answer. The controller hands it back once.
type Caller any

// Input is what a step takes in.
type Input struct {
	// Replicated must be read with ReadReplicatedState after the newest of Events happened: a router that a barrier
	// confirms must have been given everything that the barrier covers.
	Replicated ReplicatedState
	Events     []Event // since the last step, in the order in which they happened

	// TimeOfDay dates departures. It may differ between machines and jump by seconds; nothing shorter than minutes depends
	// on it.
	TimeOfDay time.Time
}

// ReplicatedState is what the instance's replica knows at one moment.
type ReplicatedState struct {
	Status     replica.Status
	Generation int64  // of the newest committed configuration; 0: there is none
	Document   []byte // of that configuration; must not be changed any more
	Departures departures.Table
}

// StatusReader gives the status of the instance's replica.
type StatusReader interface {
	Status() replica.Status
}

// Configurations gives the committed state.
type Configurations interface {
	// Newest returns the newest committed version, or 0 and nil. The document must not be changed.
	Newest() (generation int64, document []byte)
	// Departures returns which endpoints have announced their end.
	Departures() departures.Table
}

// ReadReplicatedState reads the status first and then the committed state: so the state has everything that was
// acknowledged anywhere before the status' ConfirmedAt.
func ReadReplicatedState(member StatusReader, configurations Configurations) ReplicatedState {
	state := ReplicatedState{Status: member.Status()}
	state.Generation, state.Document = configurations.Newest()
	state.Departures = configurations.Departures()
	return state
}

// Event is something that happened: one of the types below.
type Event interface{ event() }

// MessageReceived is an event: a message came on a connection, from a router or from another instance.
type MessageReceived struct {
	Connection Connection
	Message    any // pointer to a type of package protocol
}

// ConnectionClosed is an event: a connection ended.
type ConnectionClosed struct{ Connection Connection }

// ReplicaChanged is an event: the replica's status may differ in more than its contact with a majority. Membership is
// derived from it in this step; without the event, after statusInterval.
type ReplicaChanged struct{}

// BarrierFinished is an event: the barrier that Output.StartBarrier named has returned. It succeeded if everything that
// was acknowledged anywhere before its start is applied here.
type BarrierFinished struct {
	Number    uint64
	Succeeded bool
}

// HeartbeatReceived is an event: an endpoint called with its state and waits for an answer.
type HeartbeatReceived struct {
	Caller   Caller
	Endpoint protocol.Endpoint
}

// DeregistrationReceived is an event: an endpoint called to be removed and waits for an answer.
type DeregistrationReceived struct {
	Caller Caller
	ID     string
}

// DepartureRecorded is an event: the proposal of Output.Proposals for a call has ended. It succeeded if the departure is
// committed.
type DepartureRecorded struct {
	RequestID uint64
	Succeeded bool
}

// LoadingChanged is an event: the placer of this instance has a new table of model loads in progress.
type LoadingChanged struct{ Table protocol.LoadingTable }

func (MessageReceived) event()        {}
func (ConnectionClosed) event()       {}
func (ReplicaChanged) event()         {}
func (BarrierFinished) event()        {}
func (HeartbeatReceived) event()      {}
func (DeregistrationReceived) event() {}
func (DepartureRecorded) event()      {}
func (LoadingChanged) event()         {}
