package replica

import (
	"context"
	"time"

	"raventrestle/coordination/view"
)

// StateMachine is the replicated state. Apply must be deterministic: the same commands in the same order give
// the same results on every member. The replica calls it from one goroutine.
type StateMachine interface {
	Apply(index uint64, command []byte) (result []byte)
	Snapshot() []byte
	Restore(snapshot []byte) error
}

// Member is one participant. Identity is made at its first start on an empty disk and dies with the disk.
type Member = view.Member

// View is one agreed membership. Chain is in order from head to tail.
type View = view.View

// Status is what a member knows of itself and the group, for hosts and for people.
type Status struct {
	Self        Member
	View        View
	CommitIndex uint64   // index of the newest entry known as committed here
	LiveMembers []Member // members heard from lately, self included, also those outside the chain
	// Leader is true while this member is the head of the newest view and a majority of the voters has
	// confirmed so within the lease: it may act alone until LeaseUntil (steady clock).
	IsLeader    bool
	LeaseExpiry time.Time
	LeaderSince time.Time // start of this member's own tenure in this epoch
	// ConfirmedAt is the newest moment (steady clock) of which this member can prove two things: a majority of the
	// voters was in View's epoch then, and everything that was acknowledged anywhere before it is applied here. Zero:
	// there was none in this epoch and life.
	ConfirmedAt time.Time
	// PreviousMayAct is until when a leader of an earlier epoch may still believe in its lease.
	PreviousLeaseExpiry time.Time
}

// Interface is what embedders use. Both calls work on every member, in the chain or not.
type Interface interface {
	// Propose has the command applied exactly once or says that it can't tell. The result is Machine.Apply's
	// on this member or on the one that committed it. Errors carry the step and the peer.
	Propose(ctx context.Context, command []byte) (result []byte, err error)
	// Barrier returns an index such that everything acknowledged before the call is at or below it, and waits
	// until this member has applied it.
	Barrier(ctx context.Context) (index uint64, err error)
	// Status returns the newest status without waiting.
	Status() Status
	// Changed is closed at the next change of view, leadership or commit index; ask again afterwards.
	Changed() <-chan struct{}
	// Deliver takes in a message that a peer's replica sent through its Transport. It does not block.
	Deliver(fromAddress string, message []byte)
	// Stop leaves in a planned way: another member becomes head first, and enough others hold everything that was
	// acknowledged, where possible within the context. Else it ends all the same, and the error is ErrNeeded and why.
	Stop(ctx context.Context) error
}

// Transport carries messages between replicas by address. Send never blocks; messages may be lost, late
// or doubled.
type Transport interface {
	Send(address string, message []byte)
}
