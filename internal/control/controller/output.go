package controller

import (
	"time"

	"raventrestle/internal/control/departures"
	"raventrestle/internal/control/registry"
	"raventrestle/internal/protocol"
)

// Output is what the host carries out, in the order of the fields: messages first, answers to endpoints last. An
// endpoint must not be answered before the messages that its answer relies on have been handed to the transport.
type Output struct {
	RouterMessages []RouterMessage
	PeerMessages   []registry.Send         // to other instances, with this process's origin and clock
	Reports        []*protocol.ReportBatch // for the singleton roles of this instance
	QuorumChange   *QuorumChange           // nil: as before
	Subscribed     []protocol.Subscribe    // routers that were taken in, for the log
	Close          []Closing
	Answers        []Answer
	Proposals      []Proposal // have each committed within RecordTimeout, then give DepartureRecorded
	StartBarrier   uint64     // start a barrier with BarrierTimeout, then give BarrierFinished; 0: start none
	WakeAt         time.Time  // Step again then at the latest; never before the time of the step
}

// RouterMessage is a message for a router.
type RouterMessage struct {
	Connection Connection
	Message    any // *protocol.Update, *protocol.Beacon or *protocol.ProbeReply
}

// Closing is a router's connection that is to be closed. ConnectionClosed need not follow.
type Closing struct {
	Connection Connection
	Node       string
	Reason     string // distribution.Replaced or distribution.Slow
}

// Answer ends the wait of a call.
type Answer struct {
	Caller Caller
	Result registry.Reply
	// Unrecorded says that the call is rejected because the endpoint's end could not be committed in time.
	Unrecorded bool
}

// Proposal asks for the commitment of a departure, for which a call waits.
type Proposal struct {
	RequestID uint64
	Departure departures.Departure
}

// QuorumChange says that the instance lost its contact with a majority of the voters, or regained it.
type QuorumChange struct {
	Lost         bool
	Live, Voters int // members heard from lately; voters of the newest view
}
