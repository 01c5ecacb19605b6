package replica

import (
	"context"
	"time"

	"raventrestle/coordination/engine"
	"raventrestle/coordination/view"
)

// StateMachine is the replicated state; engine.StateMachine says what an implementation promises. Its methods are never
// called concurrently: by the caller of Open until that returns, by the loop from then on.
type StateMachine = engine.StateMachine

// Member is one participant. Identity is made at its first start on an empty disk and dies with the disk.
type Member = view.Member

// View is one agreed membership. Chain is in order from head to tail.
type View = view.View

// Status is what a member knows of itself and of the group, for embedders and for people. Moments are on the monotonic
// clock of Config.Clock; the zero time means never.
type Status struct {
	Self        Member
	View        View
	CommitIndex uint64   // index of the newest entry known here as committed
	LiveMembers []Member // members heard from lately, self included, also those outside the chain
	// IsLeader is true while this member is the head of the newest view and a majority of the voters has confirmed so
	// within the lease: it may act alone until LeaseExpiry.
	IsLeader    bool
	LeaseExpiry time.Time
	LeaderSince time.Time // when this member became leader in this epoch
	// ConfirmedAt is the newest moment of this member's majority contact: a majority of the voters was in View's epoch
	// then, and everything that was acknowledged anywhere before it is applied here (the newest valid proof of freshness
	// of package chain). It is zero while there was none in this epoch and incarnation.
	ConfirmedAt time.Time
	// PreviousLeaseExpiry is until when a leader of an earlier epoch may still have its lease.
	PreviousLeaseExpiry time.Time
}

// Interface is what embedders use; Replica implements it. Propose and Barrier work on every member, in the chain or not.
type Interface interface {
	// Propose has the command applied exactly once, or returns an error that says whether it may have been. The result
	// is that of StateMachine.Apply on this member. Errors are an *OperationError with ErrOutcomeUnknown or
	// ErrUnavailable as a cause.
	Propose(ctx context.Context, command []byte) (result []byte, err error)
	// Barrier returns an index such that everything acknowledged before the call is at or below it, and waits until
	// this member has applied it. Errors are an *OperationError.
	Barrier(ctx context.Context) (index uint64, err error)
	// Status returns the newest status without waiting.
	Status() Status
	// Changed returns a channel that is closed at the next change of view, leadership, live members or commit index.
	// Call it again afterwards.
	Changed() <-chan struct{}
	// Deliver takes in a message that a peer's replica sent through its Transport. It does not block. The message
	// belongs to the replica from then on.
	Deliver(fromAddress string, message []byte)
	// Stop leaves the group in a planned way and ends the replica: another member becomes head first, and enough others
	// have everything that was acknowledged, where that is possible before the context ends. Otherwise the replica ends
	// all the same, and the error wraps ErrStillNeeded and says why.
	Stop(ctx context.Context) error
}

// Transport carries messages between replicas by address.
type Transport interface {
	// Send sends a message. It never blocks. Messages may be lost, delayed, reordered or duplicated. The message must
	// not be changed.
	Send(address string, message []byte)
}
