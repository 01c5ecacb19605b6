package chain

import (
	"time"

	"raventrestle/coordination/view"
)

// The cbor numbers below are the protocol between processes of different builds. A number never changes its meaning.

// Message is one message between members. Exactly one of the bodies is set. A body that belongs to an epoch is handled
// only if Epoch is the receiver's own epoch: see checkEpoch.
type Message struct {
	From  string `cbor:"1,keyasint"`           // identity of the sender
	To    string `cbor:"2,keyasint,omitempty"` // identity of the receiver, where it is known
	Epoch uint64 `cbor:"3,keyasint,omitempty"` // of the sender's view

	Hello          *Hello          `cbor:"10,keyasint,omitempty"`
	ViewRequest    *ViewRequest    `cbor:"11,keyasint,omitempty"`
	ViewDecision   *ViewDecision   `cbor:"12,keyasint,omitempty"`
	Heartbeat      *Heartbeat      `cbor:"13,keyasint,omitempty"`
	HeartbeatReply *HeartbeatReply `cbor:"14,keyasint,omitempty"`
	Fetch          *Fetch          `cbor:"15,keyasint,omitempty"`
	Append         *Append         `cbor:"16,keyasint,omitempty"`
	Commit         *Commit         `cbor:"17,keyasint,omitempty"`
	Forward        *Forward        `cbor:"18,keyasint,omitempty"`
	Barrier        *Barrier        `cbor:"19,keyasint,omitempty"`
	BarrierReply   *BarrierReply   `cbor:"20,keyasint,omitempty"`
	PreVote        *PreVote        `cbor:"21,keyasint,omitempty"`
	PreVoteReply   *PreVoteReply   `cbor:"22,keyasint,omitempty"`
	Prepare        *Prepare        `cbor:"23,keyasint,omitempty"`
	Promise        *view.Promise   `cbor:"24,keyasint,omitempty"`
	Accept         *Accept         `cbor:"25,keyasint,omitempty"`
	Accepted       *Accepted       `cbor:"26,keyasint,omitempty"`
}

// Hello introduces its sender. A member that does not hear a head sends it to every address that it knows.
type Hello struct {
	Member view.Member `cbor:"1,keyasint"`
}

// ViewRequest asks for the receiver's view, after a message from the receiver carried a later epoch.
type ViewRequest struct{}

// ViewDecision announces a view that was decided.
type ViewDecision struct {
	View view.View `cbor:"1,keyasint"`
	// PriorLeasesExpired says that no leader of an earlier epoch can still regard its lease as valid.
	PriorLeasesExpired bool `cbor:"2,keyasint,omitempty"`
}

// Heartbeat is sent by the head to every member that it knows.
type Heartbeat struct {
	Incarnation       uint64        `cbor:"1,keyasint"` // of the head's process
	SentAt            time.Duration `cbor:"2,keyasint"` // on the head's clock
	Echo              time.Duration `cbor:"3,keyasint"` // newest SentAt to which the receiver's reply has arrived
	CommitIndex       uint64        `cbor:"4,keyasint"`
	LastIndex         uint64        `cbor:"5,keyasint"`
	StepDown          bool          `cbor:"6,keyasint,omitempty"` // the head can't write: another should take over
	MembershipVersion uint64        `cbor:"7,keyasint"`           // of the head's list of members
	Members           []view.Member `cbor:"8,keyasint,omitempty"` // the list, set if the receiver has another version
	Live              []bool        `cbor:"9,keyasint,omitempty"` // for each of Members: whether it answers the head
	// DurableReplicas is the number of members that have on disk everything that was acknowledged before this epoch.
	// The receiver and members that are leaving are not counted.
	DurableReplicas int `cbor:"20,keyasint,omitempty"`

	// For the receiver's proof of freshness. All times are on the head's clock.
	EchoReceivedAt time.Duration `cbor:"10,keyasint,omitempty"` // when the reply to Echo arrived
	EchoGeneration uint64        `cbor:"11,keyasint,omitempty"` // ReceiptGeneration of that reply
	ProofAt        time.Duration `cbor:"12,keyasint,omitempty"` // time of the head's newest proof; 0: it has none
	ProofIndex     uint64        `cbor:"13,keyasint,omitempty"` // index that covers everything acknowledged before ProofAt
}

// HeartbeatReply answers a Heartbeat.
type HeartbeatReply struct {
	Incarnation       uint64        `cbor:"1,keyasint"` // of the heartbeat
	HeartbeatSentAt   time.Duration `cbor:"2,keyasint"` // of the heartbeat
	CommitIndex       uint64        `cbor:"3,keyasint"`
	LastIndex         uint64        `cbor:"4,keyasint"`
	CompleteEpoch     uint64        `cbor:"5,keyasint"`           // newest epoch in whose chain its log was complete
	Matched           bool          `cbor:"6,keyasint,omitempty"` // its log is a prefix of the head's
	PromisedEpoch     uint64        `cbor:"7,keyasint,omitempty"` // a later epoch for which it has promised a proposal
	DiskFailing       bool          `cbor:"8,keyasint,omitempty"` // its disk rejects writes
	Leaving           bool          `cbor:"9,keyasint,omitempty"`
	MembershipVersion uint64        `cbor:"10,keyasint"`           // of the list of members that it has
	ReceiptGeneration uint64        `cbor:"11,keyasint,omitempty"` // of the receipts that include the heartbeat
}

// EpochEnd is the last index of an epoch in a log.
type EpochEnd struct {
	Epoch     uint64 `cbor:"1,keyasint"`
	LastIndex uint64 `cbor:"2,keyasint"`
}

// Fetch asks the upstream member for the entries that follow the sender's log.
type Fetch struct {
	RequestID   uint64     `cbor:"1,keyasint"`
	CommitIndex uint64     `cbor:"2,keyasint"`
	EpochEnds   []EpochEnd `cbor:"3,keyasint"` // of the entries after CommitIndex, oldest first
}

// Append carries entries down the chain, or from the head to a learner.
type Append struct {
	InReplyTo       uint64  `cbor:"1,keyasint,omitempty"` // RequestID of the Fetch that it answers; 0: unsolicited
	PreviousIndex   uint64  `cbor:"2,keyasint"`           // index before the entries
	Entries         []Entry `cbor:"3,keyasint,omitempty"`
	CommitIndex     uint64  `cbor:"4,keyasint"`
	EpochStartIndex uint64  `cbor:"5,keyasint"`           // a log that matches up to it is complete in this epoch
	More            bool    `cbor:"6,keyasint,omitempty"` // fetch again for the rest
	Snapshot        []byte  `cbor:"7,keyasint,omitempty"` // replaces all entries up to PreviousIndex
}

// Commit announces how far the tail has committed.
type Commit struct {
	Index uint64 `cbor:"1,keyasint"`
}

// Forward carries a command to the head.
type Forward struct {
	ID      CommandID `cbor:"1,keyasint"`
	Command []byte    `cbor:"2,keyasint"`
}

// Barrier passes from the head through the chain to the tail, on behalf of a read.
type Barrier struct {
	RequestID        uint64 `cbor:"1,keyasint"`
	Requester        string `cbor:"2,keyasint"` // identity
	RequesterAddress string `cbor:"3,keyasint"`
}

// BarrierReply goes from the tail to the requester.
type BarrierReply struct {
	RequestID uint64 `cbor:"1,keyasint"`
	Index     uint64 `cbor:"2,keyasint"` // everything acknowledged before the request is at or below it
}

// PreVote asks whether the receiver would support a view change. It changes nothing at the receiver.
type PreVote struct {
	RequestID uint64 `cbor:"1,keyasint"`
}

// PreVoteReply grants a PreVote.
type PreVoteReply struct {
	RequestID uint64 `cbor:"1,keyasint"`
}

// Prepare is phase 1a of Paxos: it opens a proposal for the epoch after View.
type Prepare struct {
	View   view.View           `cbor:"1,keyasint"`
	Number view.ProposalNumber `cbor:"2,keyasint"`
}

// Accept is phase 2a of Paxos: it proposes a value.
type Accept struct {
	Number view.ProposalNumber `cbor:"1,keyasint"`
	Value  view.View           `cbor:"2,keyasint"`
}

// Accepted is phase 2b of Paxos: the voter has the proposal's value on disk.
type Accepted struct {
	Number view.ProposalNumber `cbor:"1,keyasint"`
}
