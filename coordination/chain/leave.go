package chain

import (
	"fmt"
	"time"
)

// Graceful shutdown of a member whose disk may be lost afterwards.
//
// Invariant: a member is safe to leave only when it no longer takes part in acknowledging entries, and more than
// FaultTolerance other members have on disk everything that was acknowledged before.

// Leave makes the node hand over the role of the head and leave the chain, as soon as others can take its place.
func (n *Node) Leave(now time.Duration) Output {
	n.enterStep(now)
	n.leaving = true
	return n.finish(now)
}

// SafeToLeave reports whether the member's disk may be lost for good now, in addition to the tolerated number of
// others.
func (n *Node) SafeToLeave() bool { return n.LeaveBlocker() == "" }

// LeaveBlocker returns why the member can't leave yet, or an empty string once it can. It can leave when it is outside
// the chain, so that it no longer takes part in acknowledging entries, and the head of that view has reported that
// more than FaultTolerance other members have everything that was acknowledged before. These members know the view by
// then, even if this member sends no further message.
func (n *Node) LeaveBlocker() string {
	needed := n.config.FaultTolerance + 1
	switch {
	case n.view.Epoch == 0 || n.config.Mutation.LeaveImmediately:
		return "" // it has no entries
	case n.isHead():
		return "it is the head, and no other member of the chain is ready to become head"
	case !n.detector.heartbeatReceived:
		return fmt.Sprintf("no heartbeat from the head of epoch %d yet", n.view.Epoch)
	case n.inChain():
		return fmt.Sprintf("the chain needs it: it has %d members, must have %d, and no voter outside is ready",
			len(n.view.Chain), n.minChainLength())
	case n.detector.durableReplicas < needed:
		return fmt.Sprintf("only %d other members are known to have all acknowledged entries on disk, %d must",
			n.detector.durableReplicas, needed)
	}
	return ""
}

// durableReplicasExcluding counts the members that stay and have on disk everything that was acknowledged before this
// epoch, without the given leaving member. What is acknowledged in this epoch is on the disks of all members of its
// chain.
func (n *Node) durableReplicasExcluding(now time.Duration, leaving *peer) int {
	if !n.complete() || n.diskFailing {
		return 0
	}
	replicas := 0
	if !n.leaving {
		replicas++
	}
	for _, p := range n.peers {
		if p != leaving && p.replied && n.isLive(now, p) && n.hasStateBeforeEpoch(p) {
			replicas++
		}
	}
	return replicas
}

// hasStateBeforeEpoch reports whether a member is not leaving and has on disk everything that the head had when the
// epoch began.
func (n *Node) hasStateBeforeEpoch(p *peer) bool {
	if n.config.Mutation.CountLearners {
		return true
	}
	reply := p.lastReply
	return reply.Matched && reply.LastIndex >= n.epochStartIndex && !reply.DiskFailing && !reply.Leaving
}
