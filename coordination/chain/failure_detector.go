package chain

import (
	"slices"
	"time"
)

// Failure detection by heartbeats: the head monitors all members, and every other member monitors the head.
//
// Invariants:
//
//   - Suspicion does not affect safety: it only starts proposals. Timeouts are measured on the node's own clock alone.
//   - A head also counts as failed if it does not hear this member. Its heartbeats show this, because they echo the
//     newest reply.
//   - After a stall of the process no member is suspected because of messages that were not received during the stall.

// unresponsiveHeartbeatInterval is the time between heartbeats to a member outside the view that does not answer.
const unresponsiveHeartbeatInterval = 600 * time.Millisecond

// failureDetector is what the node knows about the head, or what it knows about the members if it is the head.
type failureDetector struct {
	epochEnteredAt        time.Duration
	headHeardAt           time.Duration // newest heartbeat, or the end of a grace window
	echoedSentAt          time.Duration // newest own reply that the head has confirmed, on the head's clock
	echoChangedAt         time.Duration
	headStepsDown         bool // the head asks to be replaced
	heartbeatReceived     bool // from the head, in this epoch
	headCommitIndex       uint64
	headLastIndex         uint64
	helloSentAt           time.Duration
	misdirectedAnsweredAt time.Duration // when a message to the former member at this address was last answered
	previousLeaseExpiry   time.Duration // until then a leader of an earlier epoch may still act
	leaderSince           time.Duration // start of the node's own leadership; 0: none
	liveIdentities        []string      // as the head last counted them
	durableReplicas       int           // Heartbeat.DurableReplicas of the newest heartbeat
}

// runFailureDetector sends what is due: the head sends heartbeats, and a member that does not hear the head searches
// for it. So does a head that does not hear a majority.
func (n *Node) runFailureDetector(now time.Duration) {
	if n.view.Epoch > 0 && n.isHead() {
		n.updateLiveness(now)
		n.runHeartbeats(now)
		n.updateLease(now)
		if n.majorityIsLive(now) {
			return
		}
	} else if n.detector.heartbeatReceived && now-n.detector.headHeardAt <= n.timing.SuspectTimeout {
		n.wakeBy(n.detector.headHeardAt + n.timing.SuspectTimeout)
		return
	}
	n.runDiscovery(now)
}

// resetFailureDetector resets what is known about the head, and gives the head of the epoch time to be heard.
func (n *Node) resetFailureDetector(now time.Duration) {
	grace := now
	if now-n.startedAt < n.timing.GraceWindow {
		grace = max(now, n.startedAt+n.timing.GraceWindow-n.timing.SuspectTimeout)
	}
	n.detector.headHeardAt, n.detector.echoedSentAt, n.detector.echoChangedAt = grace, 0, grace
	n.detector.epochEnteredAt = now
	n.detector.headStepsDown, n.detector.heartbeatReceived = false, false
	n.detector.headCommitIndex, n.detector.headLastIndex = 0, 0
	n.detector.durableReplicas = 0
	n.detector.leaderSince = 0
	n.detector.liveIdentities = nil
	for _, p := range n.peers {
		p.heartbeatSentAt = 0
		if n.isHead() && grace > now {
			p.heardAt = grace
		}
	}
}

// resetLastHeard marks all peers as heard now, for a head that has not monitored them so far.
func (n *Node) resetLastHeard(now time.Duration) {
	for _, p := range n.peers {
		p.heardAt = now
	}
}

// recoverFromStall gives all members time to be heard after the process was stopped. A lease that has expired
// meanwhile is dropped and must be confirmed again; one that is still valid remains so, because its validity depends
// on the clock alone.
func (n *Node) recoverFromStall(now time.Duration) {
	leaseValid := n.leaseExpiry(now) > now
	n.detector.headHeardAt, n.detector.echoChangedAt = now, now
	n.viewChange.suspectedSince = 0
	for _, p := range n.peers {
		p.heardAt, p.progressAt, p.heartbeatSentAt, p.steadySince = now, now, 0, 0
		if !leaseValid {
			p.confirmedSentAt = 0
		}
	}
	if !leaseValid {
		n.detector.leaderSince = 0
	}
}

// headSuspected reports whether the head is considered failed, or does not hear this node.
func (n *Node) headSuspected(now time.Duration) bool {
	return n.headUnresponsive(now, n.timing.SuspectTimeout)
}

// headUnresponsive reports whether the head was not heard, or has not heard this node, within the timeout.
func (n *Node) headUnresponsive(now, timeout time.Duration) bool {
	return n.detector.headStepsDown || now-n.detector.headHeardAt > timeout ||
		now-n.detector.echoChangedAt > timeout+2*n.timing.HeartbeatInterval
}

// isLive reports whether the head has heard the peer within the suspect timeout.
func (n *Node) isLive(now time.Duration, p *peer) bool {
	return now-p.heardAt <= n.timing.SuspectTimeout
}

// updateLiveness records a change of the set of live members, so that the other members learn of it.
func (n *Node) updateLiveness(now time.Duration) {
	live := make([]string, 0, len(n.peers))
	for _, p := range n.peers {
		if n.isLive(now, p) {
			live = append(live, p.member.Identity)
			continue
		}
		p.steadySince, p.replied = 0, false
	}
	if !slices.Equal(live, n.detector.liveIdentities) {
		n.detector.liveIdentities = live
		n.membershipVersion++
		n.expirePeers(now)
	}
}

// majorityIsLive reports whether the head hears enough voters to decide a view, as far as it knows by now.
func (n *Node) majorityIsLive(now time.Duration) bool {
	return n.countVoters(func(p *peer) bool { return n.isLive(now, p) }) >= n.view.Majority()
}

// majorityReplies reports whether enough voters have replied to the head in this epoch.
func (n *Node) majorityReplies(now time.Duration) bool {
	return n.countVoters(func(p *peer) bool { return p.replied && n.isLive(now, p) }) >= n.view.Majority()
}

// countVoters counts the voters that match, and the node itself if it is a voter.
func (n *Node) countVoters(matches func(p *peer) bool) int {
	count := 0
	for _, voter := range n.view.Voters {
		if voter.Identity == n.self.Identity {
			count++
			continue
		}
		if p := n.findPeer(voter.Identity); p != nil && matches(p) {
			count++
		}
	}
	return count
}

// recordHeadHeard records that the head was heard, and whether the head hears this node. After an interruption in
// either direction an open fetch is considered lost.
func (n *Node) recordHeadHeard(now, echo time.Duration) {
	interrupted := now-n.detector.headHeardAt > n.timing.SuspectTimeout
	if echo != n.detector.echoedSentAt {
		interrupted = interrupted || now-n.detector.echoChangedAt > n.timing.SuspectTimeout
		n.detector.echoedSentAt, n.detector.echoChangedAt = echo, now
	}
	n.detector.headHeardAt, n.detector.heartbeatReceived = now, true
	if interrupted {
		n.catchUp.requestedAt, n.catchUp.attempts = 0, 0
	}
}
