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
	if status.Leader && !r.options.Clock().Before(status.LeaseUntil) {
		status.Leader = false
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
		r.options.Log("view_changed", "epoch", next.View.Epoch, "head", next.View.Head().Address,
			"chain", len(next.View.Chain), "voters", len(next.View.Voters))
	}
	if before.Leader != next.Leader {
		r.options.Log("leadership_changed", "epoch", next.View.Epoch, "leader", next.Leader)
	}
	close(r.changed.Swap(newSignal()).closed)
}

func (r *Replica) statusOf(s chain.Status) Status {
	return Status{
		Self:           s.Self,
		View:           s.View,
		Committed:      s.CommitIndex,
		Live:           s.LiveMembers,
		Leader:         s.IsLeader,
		LeaseUntil:     r.instant(s.LeaseExpiry),
		LeaderSince:    r.instant(s.LeaderSince),
		PreviousMayAct: r.instant(s.PreviousLeaseExpiry),
		ConfirmedAt:    r.instant(s.ConfirmedAt),
	}
}

// differs tells whether the change is one that Changed promises to tell. Who is live belongs to it too.
func differs(a, b Status) bool {
	return a.View.Epoch != b.View.Epoch || a.Committed != b.Committed || a.Leader != b.Leader ||
		!slices.Equal(a.Live, b.Live) || !slices.Equal(a.View.Chain, b.View.Chain)
}
