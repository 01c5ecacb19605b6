package replica

import (
	"slices"
	"sync/atomic"
	"time"

	"raventrestle/coordination/chain"
)

// published is what readers see without asking the owner.
type published struct {
	status  atomic.Pointer[Status]
	changed atomic.Pointer[signal]
}

// signal is closed once.
type signal struct{ closed chan struct{} }

func newSignal() *signal { return &signal{closed: make(chan struct{})} }

// Status implements Interface.
func (r *Replica) Status() Status {
	status := *r.status.Load()
	if status.IsLeader && !r.options.Clock().Before(status.LeaseExpiry) {
		status.IsLeader = false
	}
	return status
}

// Changed implements Interface.
func (r *Replica) Changed() <-chan struct{} { return r.changed.Load().closed }

func (r *Replica) headAddress() string { return r.status.Load().View.Head().Address }

// publish stores the newest status and wakes those who wait for a change.
func (r *Replica) publish(now time.Duration) {
	next := r.statusOf(r.engine.Status(now))
	before := r.status.Swap(&next)
	if before == nil || !differs(*before, next) {
		return
	}
	if before.View.Epoch != next.View.Epoch {
		r.options.RecordEvent("view_changed", "epoch", next.View.Epoch, "head", next.View.Head().Address,
			"chain", len(next.View.Chain), "voters", len(next.View.Voters))
	}
	if before.IsLeader != next.IsLeader {
		r.options.RecordEvent("leadership_changed", "epoch", next.View.Epoch, "leader", next.IsLeader)
	}
	close(r.changed.Swap(newSignal()).closed)
}

func (r *Replica) statusOf(s chain.Status) Status {
	return Status{
		Self:                s.Self,
		View:                s.View,
		CommitIndex:         s.CommitIndex,
		LiveMembers:         s.LiveMembers,
		IsLeader:            s.IsLeader,
		LeaseExpiry:         r.instant(s.LeaseExpiry),
		LeaderSince:         r.instant(s.LeaderSince),
		PreviousLeaseExpiry: r.instant(s.PreviousLeaseExpiry),
		ConfirmedAt:         r.instant(s.ConfirmedAt),
	}
}

// differs tells whether the change is one that Changed promises to tell. Who is live belongs to it too.
func differs(a, b Status) bool {
	return a.View.Epoch != b.View.Epoch || a.CommitIndex != b.CommitIndex || a.IsLeader != b.IsLeader ||
		!slices.Equal(a.LiveMembers, b.LiveMembers) || !slices.Equal(a.View.Chain, b.View.Chain)
}
