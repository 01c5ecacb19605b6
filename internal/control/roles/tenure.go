// Package roles runs what only one instance may do at a time: the placer with its orders to endpoints, and the
// quota allocator. The head of the chain holds both roles while its lease lasts.
package roles

import (
	"time"

	"raventrestle/coordination/replica"
)

const (
	// foundingEpoch is the first epoch of a system: nobody held a role before it.
	foundingEpoch = 1
	// handoverPart of the deployment's lease_ms passes between two holders' acts at least.
	handoverPart = 3
)

// Leadership decides whether this instance may act. It is pure.
//
// Invariants (tenure_test.go): a holder acts only after the last moment at which an earlier one may act, and a part
// of the lease later; and a holder that has acted, or may have before its process started, acts again after another
// one only when a whole lease has passed since: holders never take turns within a lease.
type Leadership struct {
	lease time.Duration
	begun time.Time     // start of the process
	epoch uint64        // newest in which this instance leads or led
	from  time.Time     // it may act in that epoch from then on
	quiet time.Duration // nobody has acted for so long before
	acted uint64        // newest epoch in which it acted; 0: none
	last  time.Time     // when it acted last, or may have: the start of the process
}

// LeadershipOutput says what this instance may do now.
type LeadershipOutput struct {
	Leads      bool // it is to gather what the roles need
	MayAct     bool
	Epoch      uint64
	ActsFrom   time.Time     // when it may act, while it leads
	LeaseUntil time.Time     // when its lease ends, if it is not renewed
	IdleFor    time.Duration // nobody has acted for so long, at least
}

// NewLeadership makes a tenure; lease is the deployment's lease_ms.
func NewLeadership(lease time.Duration, now time.Time) *Leadership {
	return &Leadership{lease: lease, begun: now, last: now}
}

// Step looks at the newest status.
func (t *Leadership) Step(now time.Time, status replica.Status) LeadershipOutput {
	if !status.IsLeader || !now.Before(status.LeaseExpiry) {
		return LeadershipOutput{}
	}
	if epoch := status.View.Epoch; epoch != t.epoch {
		t.from, t.quiet = t.startOf(now, status)
		t.epoch = epoch
	}
	turn := LeadershipOutput{Leads: true, Epoch: t.epoch, ActsFrom: t.from, LeaseUntil: status.LeaseExpiry}
	turn.IdleFor = t.quiet + max(0, now.Sub(t.from))
	if !now.Before(t.from) {
		turn.MayAct = true
		t.acted = t.epoch
		t.last = now
	}
	return turn
}

// startOf says from when this instance may act in a new epoch, and for how long nobody will have acted then.
func (t *Leadership) startOf(now time.Time, status replica.Status) (from time.Time, quiet time.Duration) {
	epoch := status.View.Epoch
	switch {
	case t.acted != 0 && t.acted+1 == epoch:
		return now, 0
	case epoch == foundingEpoch:
		return now, now.Sub(t.begun) // an earlier process of this instance may have acted
	}
	former := latest(status.LeaderSince, status.PreviousLeaseExpiry)
	pause := t.lease / handoverPart
	from = latest(former.Add(pause), t.last.Add(t.lease))
	return from, from.Sub(former)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
