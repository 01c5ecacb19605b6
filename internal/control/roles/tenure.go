// Package roles runs what only one instance may do at a time: the placer with its orders to endpoints, and the
// quota allocator. The head of the chain holds both roles while its lease lasts.
package roles

import (
	"time"

	"raventrestle/coordination/replica"
)

// foundingEpoch is the first epoch of a system: nobody held a role before it.
const foundingEpoch = 1

// Tenure decides whether this instance may act. It is pure.
//
// Invariant (tenure_test.go): between the last moment at which an earlier holder may act and the first of this
// one lies a whole lease, unless the earlier holder was this process in the epoch just before.
type Tenure struct {
	lease time.Duration
	begun time.Time     // start of the process
	epoch uint64        // newest in which this instance leads or led
	from  time.Time     // it may act in that epoch from then on
	quiet time.Duration // nobody has acted for so long before
	acted uint64        // newest epoch in which it acted; 0: none
}

// Turn says what this instance may do now.
type Turn struct {
	Leads bool // it is to gather what the roles need
	Acts  bool
	Epoch uint64
	From  time.Time     // when it may act, while it leads
	Until time.Time     // when its lease ends, if it is not renewed
	Quiet time.Duration // nobody has acted for so long, at least
}

// NewTenure makes a tenure; lease is the deployment's lease_ms.
func NewTenure(lease time.Duration, now time.Time) *Tenure { return &Tenure{lease: lease, begun: now} }

// Step looks at the newest status.
func (t *Tenure) Step(now time.Time, status replica.Status) Turn {
	if !status.Leader || !now.Before(status.LeaseUntil) {
		return Turn{}
	}
	if epoch := status.View.Epoch; epoch != t.epoch {
		t.from, t.quiet = t.startOf(now, status)
		t.epoch = epoch
	}
	turn := Turn{Leads: true, Epoch: t.epoch, From: t.from, Until: status.LeaseUntil}
	turn.Quiet = t.quiet + max(0, now.Sub(t.from))
	if !now.Before(t.from) {
		turn.Acts = true
		t.acted = t.epoch
	}
	return turn
}

// startOf says from when this instance may act in a new epoch, and for how long nobody will have acted then.
func (t *Tenure) startOf(now time.Time, status replica.Status) (from time.Time, quiet time.Duration) {
	epoch := status.View.Epoch
	switch {
	case t.acted != 0 && t.acted+1 == epoch:
		return now, 0
	case epoch == foundingEpoch:
		return now, now.Sub(t.begun) // an earlier process of this instance may have acted
	}
	start := status.LeaderSince
	if status.PreviousMayAct.After(start) {
		start = status.PreviousMayAct
	}
	return start.Add(t.lease), t.lease
}
