package chain

import (
	"slices"
	"time"
)

// The leader's lease.
//
// Invariant: at no time do two members regard a lease of their own as valid. A head's lease ends LeaseTTL after the
// sending of heartbeats that a majority of the voters has answered without a promise for a later epoch. Whoever
// becomes head of a later epoch needs promises of a majority, so at least one voter promised after its answer, and
// waits for LeaseTTL and leaseMargin after it entered the epoch, unless the former head itself has promised and so
// given its lease up.

// leaseMargin covers the difference in speed of two steady clocks over a lease.
const leaseMargin = 50 * time.Millisecond

// leaseExpiry returns the end of the lease that a majority of the voters has confirmed, or 0.
func (n *Node) leaseExpiry(now time.Duration) time.Duration {
	since := n.majorityConfirmedAt(now)
	if since == 0 {
		return 0
	}
	return since + n.timing.LeaseTTL
}

// majorityConfirmedAt returns the newest time so that a majority of the voters has replied in this epoch to
// heartbeats sent at or after it, or 0 when there is none.
func (n *Node) majorityConfirmedAt(now time.Duration) time.Duration {
	if !n.mayProve() {
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

// updateLease notes the beginning and the end of the node's own leadership.
func (n *Node) updateLease(now time.Duration) {
	until := n.leaseExpiry(now)
	if until <= now || now < n.detector.previousLeaseExpiry {
		n.detector.leaderSince = 0
		if n.detector.previousLeaseExpiry > now {
			n.wakeBy(n.detector.previousLeaseExpiry)
		}
		return
	}
	n.wakeBy(until)
	if n.detector.leaderSince == 0 {
		n.detector.leaderSince = now
	}
}
