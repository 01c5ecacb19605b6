package chain

import (
	"time"

	"raventrestle/coordination/view"
)

// Message is one message between nodes. Exactly one of the bodies is set. A node refuses the bodies that
// belong to an epoch when Epoch is not its own.
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

// Hello makes its sender known. Whoever hears no head sends it to all addresses that it knows.
type Hello struct {
	Member view.Member `cbor:"1,keyasint"`
}

// ViewRequest asks for the receiver's view, because it has shown a later epoch.
type ViewRequest struct{}

// ViewDecision tells a view that was decided.
type ViewDecision struct {
	View view.View `cbor:"1,keyasint"`
	// Clean says that no leader of an earlier epoch can still believe in its lease.
	PriorLeasesExpired bool `cbor:"2,keyasint,omitempty"`
}

// Heartbeat is sent by the head to every member that it knows.
type Heartbeat struct {
	Incarnation       uint64        `cbor:"1,keyasint"` // of this start of the head
	SentAt            time.Duration `cbor:"2,keyasint"` // on the head's clock
	Echo              time.Duration `cbor:"3,keyasint"` // newest Sent that the receiver has confirmed to the head
	CommitIndex       uint64        `cbor:"4,keyasint"`
	LastIndex         uint64        `cbor:"5,keyasint"`
	StepDown          bool          `cbor:"6,keyasint,omitempty"` // the head can't write: another should take over
	MembershipVersion uint64        `cbor:"7,keyasint"`           // of the table of members
	Members           []view.Member `cbor:"8,keyasint,omitempty"` // the table, when the receiver lacks it
	Live              []bool        `cbor:"9,keyasint,omitempty"` // beside Members
	// Copies is how many others than the receiver hold all that was acknowledged before this epoch, and stay.
	DurableReplicas int `cbor:"20,keyasint,omitempty"`

	// For the receiver's contact, all on the head's clock.
	EchoReceivedAt time.Duration `cbor:"10,keyasint,omitempty"` // when the answer to Echo came
	EchoGeneration uint64        `cbor:"11,keyasint,omitempty"` // Contact of that answer
	ProofAt        time.Duration `cbor:"12,keyasint,omitempty"` // moment of the head's newest proof; 0: it has none
	ProofIndex     uint64        `cbor:"13,keyasint,omitempty"` // all acknowledged before Proof is at or below it
}

// HeartbeatReply answers a ping.
type HeartbeatReply struct {
	Incarnation       uint64        `cbor:"1,keyasint"`
	HeartbeatSentAt   time.Duration `cbor:"2,keyasint"` // of the ping
	CommitIndex       uint64        `cbor:"3,keyasint"`
	LastIndex         uint64        `cbor:"4,keyasint"`
	CompleteEpoch     uint64        `cbor:"5,keyasint"`
	Matched           bool          `cbor:"6,keyasint,omitempty"` // its log is a beginning of the head's
	PromisedEpoch     uint64        `cbor:"7,keyasint,omitempty"` // a later epoch that it has promised to decide
	DiskFailing       bool          `cbor:"8,keyasint,omitempty"` // its disk refuses writes
	Leaving           bool          `cbor:"9,keyasint,omitempty"`
	MembershipVersion uint64        `cbor:"10,keyasint"`
	ReceiptGeneration uint64        `cbor:"11,keyasint,omitempty"` // number of the receipts among which the ping is
}

// EpochEnd says up to which index a log holds entries of an epoch.
type EpochEnd struct {
	Epoch     uint64 `cbor:"1,keyasint"`
	LastIndex uint64 `cbor:"2,keyasint"`
}

// Fetch asks the upstream member for what follows the sender's log.
type Fetch struct {
	RequestID   uint64     `cbor:"1,keyasint"`
	CommitIndex uint64     `cbor:"2,keyasint"`
	EpochEnds   []EpochEnd `cbor:"3,keyasint"` // of the entries above Committed, oldest first
}

// Append carries entries down the chain or to a standby.
type Append struct {
	InReplyTo       uint64  `cbor:"1,keyasint,omitempty"` // the Fetch that it answers; 0 when it was not asked for
	PreviousIndex   uint64  `cbor:"2,keyasint"`           // index before the entries
	Entries         []Entry `cbor:"3,keyasint,omitempty"`
	CommitIndex     uint64  `cbor:"4,keyasint"`
	EpochStartIndex uint64  `cbor:"5,keyasint"`           // a log that matches up to here is whole in this epoch
	More            bool    `cbor:"6,keyasint,omitempty"` // ask again for the rest
	Snapshot        []byte  `cbor:"7,keyasint,omitempty"` // stands for everything up to Previous
}

// Commit tells how far the tail has committed.
type Commit struct {
	Index uint64 `cbor:"1,keyasint"`
}

// Forward carries a command to the head.
type Forward struct {
	ID      CommandID `cbor:"1,keyasint"`
	Command []byte    `cbor:"2,keyasint"`
}

// Barrier passes from the head to the tail.
type Barrier struct {
	RequestID        uint64 `cbor:"1,keyasint"`
	Requester        string `cbor:"2,keyasint"`
	RequesterAddress string `cbor:"3,keyasint"` // of the asker
}

// BarrierReply goes from the tail to the asker.
type BarrierReply struct {
	RequestID uint64 `cbor:"1,keyasint"`
	Index     uint64 `cbor:"2,keyasint"`
}

// PreVote asks whether a new view would be supported. It changes nothing at the receiver.
type PreVote struct {
	RequestID uint64 `cbor:"1,keyasint"`
}

// PreVoteReply supports an attempt.
type PreVoteReply struct {
	RequestID uint64 `cbor:"1,keyasint"`
}

// Prepare opens a ballot for the epoch after View.
type Prepare struct {
	View   view.View           `cbor:"1,keyasint"`
	Number view.ProposalNumber `cbor:"2,keyasint"`
}

// Accept proposes the value of a ballot.
type Accept struct {
	Number view.ProposalNumber `cbor:"1,keyasint"`
	Value  view.View           `cbor:"2,keyasint"`
}

// Accepted tells that a voter holds the value of the ballot.
type Accepted struct {
	Number view.ProposalNumber `cbor:"1,keyasint"`
}
