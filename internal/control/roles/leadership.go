package roles

import (
	"time"

	"raventrestle/coordination/replica"
)

// Invariants (leadership_test.go, fencing_test.go):
//
//   - An instance starts to act only when a handover delay of lease/handoverDivisor has passed since the last time at which
//     an earlier leader could act. Everything that the earlier leader sent has ended by then (orderTimeout).
//   - An instance that has acted, or may have acted before its process started, acts again after another leader only if a
//     complete lease has passed since it last acted. Two leaders therefore never alternate within one lease.

const (
	// initialEpoch is the first epoch of a system. There was no leader before it.
	initialEpoch = 1
	// handoverDivisor divides the lease to give the handover delay, the minimum time between the acts of two leaders.
	handoverDivisor = 3
)

// Leadership decides whether this instance may act in the singleton roles. It is a pure state machine, and not safe for
// concurrent use.
type Leadership struct {
	lease          time.Duration
	processStart   time.Time
	epoch          uint64        // newest epoch in which this instance is or was the leader
	actsFrom       time.Time     // when it may start to act in that epoch
	idleBefore     time.Duration // how long before actsFrom no instance acted, at least
	lastActedEpoch uint64        // newest epoch in which it acted; 0: none
	lastActedAt    time.Time     // when it last acted; at first the start of the process, before which it may have acted
}

// LeadershipOutput describes what this instance may do now.
type LeadershipOutput struct {
	Leads       bool // it is the head with a valid lease, and gathers the roles' inputs
	MayAct      bool // it may send orders
	Epoch       uint64
	ActsFrom    time.Time     // when it may start to act, while it leads
	LeaseExpiry time.Time     // when its lease expires unless it is renewed
	IdleFor     time.Duration // how long no instance has acted, at least
}

// NewLeadership returns a Leadership. lease is the deployment's lease_ms, and now is the start of the process.
func NewLeadership(lease time.Duration, now time.Time) *Leadership {
	return &Leadership{lease: lease, processStart: now, lastActedAt: now}
}

// Step processes the newest status. The output applies until the next step or until LeaseExpiry, whichever is first.
func (l *Leadership) Step(now time.Time, status replica.Status) LeadershipOutput {
	if !status.IsLeader || !now.Before(status.LeaseExpiry) {
		return LeadershipOutput{}
	}
	if epoch := status.View.Epoch; epoch != l.epoch {
		l.actsFrom, l.idleBefore = l.earliestAct(now, status)
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

// earliestAct returns when this instance may start to act in a new epoch, and how long no instance will have acted then.
func (l *Leadership) earliestAct(now time.Time, status replica.Status) (actsFrom time.Time, idleBefore time.Duration) {
	epoch := status.View.Epoch
	switch {
	case l.lastActedEpoch != 0 && l.lastActedEpoch+1 == epoch:
		return now, 0 // it was also the leader in the previous epoch
	case epoch == initialEpoch:
		return now, now.Sub(l.processStart) // an earlier process of this instance may have acted
	}
	formerActsUntil := latest(status.LeaderSince, status.PreviousLeaseExpiry)
	handover := l.lease / handoverDivisor
	actsFrom = latest(formerActsUntil.Add(handover), l.lastActedAt.Add(l.lease))
	return actsFrom, actsFrom.Sub(formerActsUntil)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
