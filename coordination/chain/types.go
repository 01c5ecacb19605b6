package chain

import (
	"time"

	"raventrestle/coordination/internal/mutation"
	"raventrestle/coordination/view"
)

// CommandID names a command so that one that is forwarded twice is applied once. Proposer is drawn at random
// at each start of a member.
type CommandID struct {
	Proposer uint64 `cbor:"1,keyasint"`
	Number   uint64 `cbor:"2,keyasint"`
}

// Entry is one command at its place in the log.
type Entry struct {
	Index   uint64    `cbor:"1,keyasint"`
	Epoch   uint64    `cbor:"2,keyasint"` // in which its head took it
	ID      CommandID `cbor:"3,keyasint"`
	Command []byte    `cbor:"4,keyasint"`
}

// Applied is an entry to apply. Repeated marks a command that was applied before under the same identity.
type Applied struct {
	Entry
	Repeated bool
}

// Timing holds the intervals of a node. DefaultTiming suits a local network.
type Timing struct {
	Ping    time.Duration // between the head's pings to one member
	Suspect time.Duration // silence after which a member is taken for dead
	Agree   time.Duration // silence of the head after which a voter supports another's attempt
	Lease   time.Duration // how long a majority's confirmation holds, from the sending of the ping
	Settle  time.Duration // steady answers before a member is admitted to the chain
	Gone    time.Duration // silence after which a voter's place may go to a standby
	Stuck   time.Duration // without progress while its predecessor is ahead
	Grace   time.Duration // after a start or a thaw, before anybody is suspected
	Retry   time.Duration // before a lost question is asked again
	Attempt time.Duration // for one attempt to decide a view
	Rank    time.Duration // between the attempts of one voter and the next
	Gather  time.Duration // after a majority has promised, for the others' promises
	Thaw    time.Duration // lateness of a step that means that the process stood still
}

// DefaultTiming returns the intervals for links of some milliseconds.
func DefaultTiming() Timing {
	return Timing{
		Ping:    150 * time.Millisecond,
		Suspect: 650 * time.Millisecond,
		Agree:   450 * time.Millisecond,
		Lease:   900 * time.Millisecond,
		Settle:  500 * time.Millisecond,
		Gone:    1200 * time.Millisecond,
		Stuck:   800 * time.Millisecond,
		Grace:   1000 * time.Millisecond,
		Retry:   200 * time.Millisecond,
		Attempt: 400 * time.Millisecond,
		Rank:    130 * time.Millisecond,
		Gather:  60 * time.Millisecond,
		Thaw:    300 * time.Millisecond,
	}
}

// Config sets up a node.
type Config struct {
	Faults   int      // disks that may be lost at once
	Seeds    []string // transport addresses to join by
	Random   uint64   // seed of the node's own random numbers; differs at each start
	Timing   Timing   // the zero value means DefaultTiming
	Mutation mutation.Set
}

// State is what a node keeps on disk. The zero State with Self set joins by the seeds.
type State struct {
	Self      view.Member
	View      view.View
	Acceptor  view.Acceptor
	Active    uint64 // newest epoch in whose chain the log was made whole
	Committed uint64 // known as committed; may lag
	Base      uint64 // index of the entry before Entries
	BaseEpoch uint64
	Entries   []Entry
	Snapshot  SnapshotPoint
	Recent    []CommandID // applied at or before the snapshot, oldest first
	Known     []view.Member
}

// SnapshotPoint says how far the newest snapshot on disk reaches.
type SnapshotPoint struct {
	Index uint64 `cbor:"1,keyasint"`
	Epoch uint64 `cbor:"2,keyasint"`
}

// Envelope is a message on its way out.
type Envelope struct {
	Address string
	Message Message
	// AttachSnapshot asks the carrier to put the newest snapshot on disk into Message.Append.Snapshot.
	AttachSnapshot bool
}

// Output is what a step asks for. Records are synced to disk before any message is sent and before
// Node.Persisted is called; when that fails, the messages are dropped and Node.Refused is called.
type Output struct {
	Records  [][]byte
	Install  *Install // replaces log and snapshot on disk; then there are no records
	Messages []Envelope
}

// Install is a snapshot that came from a peer.
type Install struct {
	Snapshot []byte   // to write to disk as it is
	Records  [][]byte // the whole state beside it
}

// Status is what the node knows of itself.
type Status struct {
	Self           view.Member
	View           view.View
	Committed      uint64
	Live           []view.Member
	Leader         bool
	LeaseUntil     time.Duration
	LeaderSince    time.Duration
	PreviousMayAct time.Duration
	// ConfirmedAt is the newest moment at which a majority of the voters was in View's epoch and before which
	// everything that was acknowledged anywhere is applied here. 0: there was none in this epoch and life.
	ConfirmedAt time.Duration
}
