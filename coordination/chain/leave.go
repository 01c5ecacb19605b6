package chain

import (
	"fmt"
	"time"
)

// Graceful shutdown of a member whose disk may be lost afterwards.
//
// Invariant: a member is safe to leave only when nothing more is acknowledged with its help, and more other members
// than may lose their disks have on disk everything that was acknowledged before.

// Leave makes the node give up the head and leave the chain, as soon as others can take its place.
func (n *Node) Leave(now time.Duration) Output {
	n.enterStep(now)
	n.leaving = true
	return n.finish(now)
}

// SafeToLeave reports whether the member's disk may be lost for good now, in addition to the tolerated number of
// others.
func (n *Node) SafeToLeave() bool { return n.LeaveBlocker() == "" }

// LeaveBlocker returns why the member can't leave yet, or an empty string once it can. It can leave when it is
// outside the chain, so that nothing more is acknowledged with its help, and the head of that view has reported that
// more members than may lose their disks have everything that was acknowledged before. These members know the view
// then, even if nothing more leaves this member.
func (n *Node) LeaveBlocker() string {
	needed := n.config.FaultTolerance + 1
	switch {
	case n.view.Epoch == 0 || n.config.Mutation.LeaveImmediately:
		return "" // it holds nothing
	case n.isHead():
		return "no other member of the chain can be the head"
	case !n.detector.heartbeatReceived:
		return fmt.Sprintf("the head of epoch %d has not been heard", n.view.Epoch)
	case n.inChain():
		return fmt.Sprintf("the chain needs it: it has %d members, %d are the least, and no voter outside is ready",
			len(n.view.Chain), n.minChainLength())
	case n.detector.durableReplicas < needed:
		return fmt.Sprintf("%d other members are known to hold everything, %d must", n.detector.durableReplicas, needed)
	}
	return ""
}

// durableReplicasBeside counts the members, without the one that leaves, that stay and have on disk everything that
// was acknowledged before this epoch. What is acknowledged in this epoch is on the disks of its whole chain.
func (n *Node) durableReplicasBeside(now time.Duration, going *peer) int {
	if !n.complete() || n.diskFailing {
		return 0
	}
	copies := 0
	if !n.leaving {
		copies++
	}
	for _, p := range n.peers {
		if p != going && p.replied && n.isLive(now, p) && n.hasStateBeforeEpoch(p) {
			copies++
		}
	}
	return copies
}

// hasStateBeforeEpoch reports whether a member that stays has on disk everything that the head had when the epoch
// began.
func (n *Node) hasStateBeforeEpoch(p *peer) bool {
	if n.config.Mutation.CountLearners {
		return true
	}
	return p.lastReply.Matched && p.lastReply.LastIndex >= n.epochStartIndex && !p.lastReply.DiskFailing && !p.lastReply.Leaving
}
