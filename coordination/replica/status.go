package replica

import (
	"slices"
	"sync/atomic"
	"time"

	"raventrestle/coordination/chain"
)

// published is the state that the loop publishes and that callers read without waiting for the loop.
type published struct {
	status  atomic.Pointer[Status]
	changed atomic.Pointer[changeSignal]
}

// changeSignal contains a channel that is closed once, at the next change of the status.
type changeSignal struct{ closed chan struct{} }

func newChangeSignal() *changeSignal { return &changeSignal{closed: make(chan struct{})} }

// Status implements Interface.
func (r *Replica) Status() Status {
	status := *r.status.Load()
	if status.IsLeader && !r.config.Clock().Before(status.LeaseExpiry) {
		status.IsLeader = false // the lease has expired since the loop published the status
	}
	return status
}

// Changed implements Interface.
func (r *Replica) Changed() <-chan struct{} { return r.changed.Load().closed }

func (r *Replica) headAddress() string { return r.status.Load().View.Head().Address }

// publish stores the newest status. If it has changed, publish logs the change and closes the channel of Changed.
func (r *Replica) publish(now time.Duration) {
	next := r.convertStatus(r.engine.Status(now))
	previous := r.status.Swap(&next)
	if previous == nil || !isStatusChange(*previous, next) {
		return
	}
	if previous.View.Epoch != next.View.Epoch {
		r.config.RecordEvent("view_changed", "epoch", next.View.Epoch, "head", next.View.Head().Address,
			"chain", len(next.View.Chain), "voters", len(next.View.Voters))
	}
	if previous.IsLeader != next.IsLeader {
		r.config.RecordEvent("leadership_changed", "epoch", next.View.Epoch, "leader", next.IsLeader)
	}
	close(r.changed.Swap(newChangeSignal()).closed)
}

func (r *Replica) convertStatus(s chain.Status) Status {
	return Status{
		Self:                s.Self,
		View:                s.View,
		CommitIndex:         s.CommitIndex,
		LiveMembers:         s.LiveMembers,
		IsLeader:            s.IsLeader,
		LeaseExpiry:         r.clockTime(s.LeaseExpiry),
		LeaderSince:         r.clockTime(s.LeaderSince),
		PreviousLeaseExpiry: r.clockTime(s.PreviousLeaseExpiry),
		ConfirmedAt:         r.clockTime(s.ConfirmedAt),
	}
}

// isStatusChange reports whether two statuses differ in a property that Changed signals. A newer majority contact alone is
// not a change.
func isStatusChange(a, b Status) bool {
	return a.View.Epoch != b.View.Epoch || a.CommitIndex != b.CommitIndex || a.IsLeader != b.IsLeader ||
		!slices.Equal(a.LiveMembers, b.LiveMembers) || !slices.Equal(a.View.Chain, b.View.Chain)
}
