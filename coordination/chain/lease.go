package chain

import (
	"slices"
	"time"
)

// The leader's lease.
//
// Invariant: at any time at most one member regards its own lease as valid. A head's lease ends LeaseTTL after it sent
// the heartbeats that a majority of the voters has answered without a promise for a later epoch. A later epoch needs
// promises from a majority, so at least one voter has promised after it answered such a heartbeat. The head of the
// later epoch does not act as leader until LeaseTTL and leaseMargin have passed since it entered the epoch, unless the
// former head itself has promised and thereby given up its lease.

// leaseMargin covers the drift between two steady clocks over the duration of a lease.
const leaseMargin = 50 * time.Millisecond

// leaseExpiry returns the end of the lease that a majority of the voters has confirmed, or 0.
func (n *Node) leaseExpiry(now time.Duration) time.Duration {
	confirmedAt := n.majorityConfirmedAt(now)
	if confirmedAt == 0 {
		return 0
	}
	return confirmedAt + n.timing.LeaseTTL
}

// majorityConfirmedAt returns the latest time such that a majority of the voters has answered, in this epoch,
// heartbeats that were sent at that time or later. It returns 0 if there is none.
func (n *Node) majorityConfirmedAt(now time.Duration) time.Duration {
	if !n.canIssueProof() {
		return 0
	}
	var confirmed []time.Duration
	for _, voter := range n.view.Voters {
		if voter.Identity == n.self.Identity {
			confirmed = append(confirmed, now)
			continue
		}
		if p := n.findPeer(voter.Identity); p != nil && p.confirmedSentAt > 0 {
			confirmed = append(confirmed, p.confirmedSentAt)
		}
	}
	if len(confirmed) < n.view.Majority() {
		return 0
	}
	slices.Sort(confirmed)
	return confirmed[len(confirmed)-n.view.Majority()]
}

// updateLease records the beginning and the end of the node's own leadership.
func (n *Node) updateLease(now time.Duration) {
	expiry := n.leaseExpiry(now)
	if expiry <= now || now < n.detector.previousLeaseExpiry {
		n.detector.leaderSince = 0
		if n.detector.previousLeaseExpiry > now {
			n.wakeBy(n.detector.previousLeaseExpiry)
		}
		return
	}
	n.wakeBy(expiry)
	if n.detector.leaderSince == 0 {
		n.detector.leaderSince = now
	}
}
