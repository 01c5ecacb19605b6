package replica

import (
	"context"
	"time"

	"raventrestle/coordination/engine"
	"raventrestle/coordination/view"
)

// StateMachine is the replicated state; engine.StateMachine documents what implementations must guarantee. Its methods are
// never called concurrently: Open calls them in its caller's goroutine, and after Open has returned only the loop does.
type StateMachine = engine.StateMachine

// Member is one participant. Its Identity is created at its first start on an empty disk, and is lost with the disk.
type Member = view.Member

// View is the agreed membership of one epoch. Chain is ordered from head to tail.
type View = view.View

// Status is what a member knows about itself and the group. Times are on the monotonic clock of Config.Clock; the
// zero time means never.
type Status struct {
	Self        Member
	View        View
	CommitIndex uint64   // index of the newest entry that this member knows to be committed
	LiveMembers []Member // recently heard from, including this member and members outside the chain
	// IsLeader is true while this member is the head of the newest view and holds the leader lease, which a majority of
	// the voters confirms. It may act as the only leader until LeaseExpiry.
	IsLeader    bool
	LeaseExpiry time.Time
	LeaderSince time.Time // when this member became leader in this epoch
	// ConfirmedAt is the time of this member's newest majority contact (the newest valid proof of freshness of package
	// chain): at that time a majority of the voters was in View's epoch, and this member has applied everything that was
	// acknowledged by any member before it. It is zero until the first majority contact in this epoch and incarnation.
	ConfirmedAt time.Time
	// PreviousLeaseExpiry is the time until which the leader of an earlier epoch may still hold its lease.
	PreviousLeaseExpiry time.Time
}

// Interface is the API for embedding programs; Replica implements it. Propose and Barrier work on every member, including
// those outside the chain.
type Interface interface {
	// Propose replicates the command and waits until this member has applied it, which happens exactly once. The result
	// is that of StateMachine.Apply on this member. Errors are an *OperationError that wraps ErrUnavailable if the command
	// is never applied, or ErrOutcomeUnknown if it may be.
	Propose(ctx context.Context, command []byte) (result []byte, err error)
	// Barrier waits until this member has applied everything that was acknowledged by any member before the call, all of
	// which is at or below the returned index. Errors are an *OperationError.
	Barrier(ctx context.Context) (index uint64, err error)
	// Status returns the newest status without blocking.
	Status() Status
	// Changed returns a channel that is closed at the next change of view, leadership, live members or commit index.
	// Call it again to wait for the following change.
	Changed() <-chan struct{}
	// Deliver passes in a message that a peer sent through its Transport. It does not block. The replica keeps the slice,
	// so the caller must not modify it afterwards.
	Deliver(fromAddress string, message []byte)
	// Stop leaves the group gracefully and then ends the replica. It waits until another member is the head and enough
	// others have everything that was acknowledged. If the context ends before that, the replica ends anyway, and the
	// error wraps ErrStillNeeded and gives the reason.
	Stop(ctx context.Context) error
}

// Transport carries messages between replicas by address.
type Transport interface {
	// Send sends a message and must not block. Messages may be lost, delayed, reordered or duplicated. Send must not
	// modify the message.
	Send(address string, message []byte)
}
