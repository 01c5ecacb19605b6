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
	Duplicate bool
}

// Timing holds the intervals of a node. DefaultTiming suits a local network.
type Timing struct {
	HeartbeatInterval   time.Duration // between the head's pings to one member
	SuspectTimeout      time.Duration // silence after which a member is taken for dead
	PreVoteTimeout      time.Duration // silence of the head after which a voter supports another's attempt
	LeaseTTL            time.Duration // how long a majority's confirmation holds, from the sending of the ping
	AdmissionWindow     time.Duration // steady answers before a member is admitted to the chain
	VoterReplaceTimeout time.Duration // silence after which a voter's place may go to a standby
	ProgressTimeout     time.Duration // without progress while its predecessor is ahead
	GraceWindow         time.Duration // after a start or a thaw, before anybody is suspected
	RetryInterval       time.Duration // before a lost question is asked again
	ProposalTimeout     time.Duration // for one attempt to decide a view
	RankBackoff         time.Duration // between the attempts of one voter and the next
	PromiseWindow       time.Duration // after a majority has promised, for the others' promises
	StallTimeout        time.Duration // lateness of a step that means that the process stood still
}

// DefaultTiming returns the intervals for links of some milliseconds.
func DefaultTiming() Timing {
	return Timing{
		HeartbeatInterval:   150 * time.Millisecond,
		SuspectTimeout:      650 * time.Millisecond,
		PreVoteTimeout:      450 * time.Millisecond,
		LeaseTTL:            900 * time.Millisecond,
		AdmissionWindow:     500 * time.Millisecond,
		VoterReplaceTimeout: 1200 * time.Millisecond,
		ProgressTimeout:     800 * time.Millisecond,
		GraceWindow:         1000 * time.Millisecond,
		RetryInterval:       200 * time.Millisecond,
		ProposalTimeout:     400 * time.Millisecond,
		RankBackoff:         130 * time.Millisecond,
		PromiseWindow:       60 * time.Millisecond,
		StallTimeout:        300 * time.Millisecond,
	}
}

// Config sets up a node.
type Config struct {
	FaultTolerance int      // disks that may be lost at once
	Seeds          []string // transport addresses to join by
	RandomSeed     uint64   // seed of the node's own random numbers; differs at each start
	Timing         Timing   // the zero value means DefaultTiming
	Mutation       mutation.Set
}

// State is what a node keeps on disk. The zero State with Self set joins by the seeds.
type State struct {
	Self           view.Member
	View           view.View
	Acceptor       view.Acceptor
	CompleteEpoch  uint64 // newest epoch in whose chain the log was made whole
	CommitIndex    uint64 // known as committed; may lag
	BaseIndex      uint64 // index of the entry before Entries
	BaseEpoch      uint64
	Entries        []Entry
	Snapshot       SnapshotPoint
	RecentCommands []CommandID // applied at or before the snapshot, oldest first
	KnownMembers   []view.Member
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
	Records         [][]byte
	InstallSnapshot *SnapshotInstall // replaces log and snapshot on disk; then there are no records
	Messages        []Envelope
}

// SnapshotInstall is a snapshot that came from a peer.
type SnapshotInstall struct {
	Snapshot []byte   // to write to disk as it is
	Records  [][]byte // the whole state beside it
}

// Status is what the node knows of itself.
type Status struct {
	Self                view.Member
	View                view.View
	CommitIndex         uint64
	LiveMembers         []view.Member
	IsLeader            bool
	LeaseExpiry         time.Duration
	LeaderSince         time.Duration
	PreviousLeaseExpiry time.Duration
	// ConfirmedAt is the newest moment at which a majority of the voters was in View's epoch and before which
	// everything that was acknowledged anywhere is applied here. 0: there was none in this epoch and life.
	ConfirmedAt time.Duration
}
