package roles

import (
	"time"

	"raventrestle/coordination/replica"
)

// Invariants (leadership_test.go, fencing_test.go):
//
//   - An instance acts only after the last moment at which an earlier leader may act, and lease/handoverFraction later:
//     what the earlier one sent has ended by then (orderTimeout).
//   - An instance that has acted, or may have before its process started, acts again after another leader only when a
//     complete lease has passed since its own last act: two leaders never alternate in one lease.

const (
	// initialEpoch is the first epoch of a system: nobody was leader before it.
	initialEpoch = 1
	// handoverFraction: the lease divided by it is the minimum time between the acts of two leaders.
	handoverFraction = 3
)

// Leadership decides whether this instance may act in the singleton roles. It is pure and not safe for concurrent use.
type Leadership struct {
	lease          time.Duration
	processStart   time.Time
	epoch          uint64        // newest in which this instance leads or led
	actsFrom       time.Time     // it may act in that epoch from then on
	idleBefore     time.Duration // nobody acted for so long before actsFrom
	lastActedEpoch uint64        // newest epoch in which it acted; 0: none
	lastActedAt    time.Time     // when it acted last, or may have: the start of the process
}

// LeadershipOutput says what this instance may do now.
type LeadershipOutput struct {
	Leads       bool // it is the head with a lease: it gathers what the roles need
	MayAct      bool // it may send orders
	Epoch       uint64
	ActsFrom    time.Time     // when it may act, while it leads
	LeaseExpiry time.Time     // when its lease ends, unless it is renewed
	IdleFor     time.Duration // nobody has acted for this long or longer
}

// NewLeadership makes a Leadership; lease is the deployment's lease_ms, now the start of the process.
func NewLeadership(lease time.Duration, now time.Time) *Leadership {
	return &Leadership{lease: lease, processStart: now, lastActedAt: now}
}

// Step takes in the newest status. The caller may act, as the output says, until the next step or LeaseExpiry.
func (l *Leadership) Step(now time.Time, status replica.Status) LeadershipOutput {
	if !status.IsLeader || !now.Before(status.LeaseExpiry) {
		return LeadershipOutput{}
	}
	if epoch := status.View.Epoch; epoch != l.epoch {
		l.actsFrom, l.idleBefore = l.acquire(now, status)
		l.epoch = epoch
	}
	out := LeadershipOutput{
		Leads:       true,
		Epoch:       l.epoch,
		ActsFrom:    l.actsFrom,
		LeaseExpiry: status.LeaseExpiry,
		IdleFor:     l.idleBefore + max(0, now.Sub(l.actsFrom)),
	}
	if !now.Before(l.actsFrom) {
		out.MayAct = true
		l.lastActedEpoch = l.epoch
		l.lastActedAt = now
	}
	return out
}

// acquire returns from when this instance may act in a new epoch, and for how long nobody will have acted then.
func (l *Leadership) acquire(now time.Time, status replica.Status) (actsFrom time.Time, idleBefore time.Duration) {
	epoch := status.View.Epoch
	switch {
	case l.lastActedEpoch != 0 && l.lastActedEpoch+1 == epoch:
		return now, 0 // it was the leader before
	case epoch == initialEpoch:
		return now, now.Sub(l.processStart) // an earlier process of this instance may have acted
	}
	formerMayAct := latest(status.LeaderSince, status.PreviousLeaseExpiry)
	handover := l.lease / handoverFraction
	actsFrom = latest(formerMayAct.Add(handover), l.lastActedAt.Add(l.lease))
	return actsFrom, actsFrom.Sub(formerMayAct)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
