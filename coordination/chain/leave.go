package chain

import (
	"fmt"
	"time"
)

// Leave has the node give up the head and leave the chain, where others can go on.
func (n *Node) Leave(now time.Duration) Output {
	n.enterStep(now)
	n.leaving = true
	return n.finish(now)
}

// SafeToLeave tells whether the member's disk may be lost for good at this moment, beside as many others as must be borne.
func (n *Node) SafeToLeave() bool { return n.LeaveBlocker() == "" }

// LeaveBlocker tells why the member can't go yet; it is empty once it can. It can go when it is outside the chain, so that
// nothing more is acknowledged with its help, and the head of that view has told that more others than may be lost hold
// everything that was acknowledged before. Others know the view then, even if nothing more leaves this member.
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

// durableReplicasBeside counts the members beside one outside the chain that stay and hold everything that was acknowledged
// before this epoch. What is acknowledged in it is held by its whole chain.
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

// hasStateBeforeEpoch tells whether a member that stays has, on its disk, all that the head held when the epoch began.
func (n *Node) hasStateBeforeEpoch(p *peer) bool {
	if n.config.Mutation.CountLearners {
		return true
	}
	return p.lastReply.Matched && p.lastReply.LastIndex >= n.epochStartIndex && !p.lastReply.DiskFailing && !p.lastReply.Leaving
}
