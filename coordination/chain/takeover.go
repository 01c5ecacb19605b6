package chain

import (
	"slices"
	"time"
)

// Takeover when the head is suspected.
//
// A voter that suspects the head first asks the others for a pre-vote, and starts a proposal only when a majority
// grants it: that is, when the others do not hear the head either. Otherwise a voter that is partitioned only from the
// head would end the epoch with its proposal, because a promise seals the voter that gives it. Pre-votes do not affect
// safety, because they promise nothing (compare the pre-vote of Raft: D. Ongaro, dissertation, 2014, section 9.6).

// runReconfiguration starts a proposal when the head needs another membership and enough voters answer it to decide
// one.
func (n *Node) runReconfiguration(now time.Duration) {
	if !n.reconfigurationNeeded(now) || !n.majorityReplies(now) {
		return
	}
	if now < n.viewChange.retryAt {
		n.wakeBy(n.viewChange.retryAt)
		return
	}
	n.startProposal(now)
}

// runTakeover starts pre-votes, one voter after the other by rank, while the head is suspected.
func (n *Node) runTakeover(now time.Duration) {
	c := &n.viewChange
	if !n.sealed() && !n.headSuspected(now) {
		c.suspectedSince = 0
		n.wakeBy(n.detector.headHeardAt + n.timing.SuspectTimeout + time.Millisecond)
		n.wakeBy(n.detector.echoChangedAt + n.timing.SuspectTimeout + 2*n.timing.HeartbeatInterval + time.Millisecond)
		return
	}
	if c.suspectedSince == 0 {
		c.suspectedSince = now
		c.retryAt = now + n.takeoverDelay()
		if n.sealed() {
			c.retryAt += n.timing.RetryInterval
		}
	}
	if now < c.retryAt {
		n.wakeBy(c.retryAt)
		return
	}
	c.retryAt = now + n.timing.RetryInterval + n.takeoverDelay()
	n.wakeBy(c.retryAt)
	n.startPreVote(now)
}

// takeoverDelay returns the voter's delay, which increases with its rank: first the chain after the head, in order,
// then the head, then the voters outside the chain.
func (n *Node) takeoverDelay() time.Duration {
	rank := 0
	for i, member := range n.view.Chain {
		if member.Identity == n.self.Identity {
			rank = i - 1
		}
	}
	switch {
	case n.isHead():
		rank = len(n.view.Chain) - 1
	case !n.inChain():
		rank = len(n.view.Chain)
	}
	return time.Duration(rank)*n.timing.RankBackoff + n.jitter(n.timing.RankBackoff/2)
}

// startPreVote asks all voters whether they would support a view change.
func (n *Node) startPreVote(now time.Duration) {
	c := &n.viewChange
	c.preVoteID = n.random.Uint64() | 1
	c.supporters = []string{n.self.Identity}
	for _, voter := range n.view.Voters {
		n.send(n.resolve(voter), Message{PreVote: &PreVote{RequestID: c.preVoteID}})
	}
	n.countPreVotes(now)
}

// handlePreVote grants a pre-vote if the head itself asks, if this voter does not hear the head either, or if a
// proposal was left unfinished. The head grants one if it does not hear a majority.
func (n *Node) handlePreVote(now time.Duration, address, from string, request PreVote) {
	if !n.view.IsVoter(n.self.Identity) || n.diskFailing {
		return
	}
	grant := n.sealed() || from == n.view.Head().Identity
	switch {
	case n.isHead():
		grant = grant || !n.majorityIsLive(now)
	default:
		grant = grant || n.headUnresponsive(now, n.timing.PreVoteTimeout)
	}
	if grant {
		n.sendTo(address, Message{To: from, PreVoteReply: &PreVoteReply{RequestID: request.RequestID}})
	}
}

// handlePreVoteReply counts a granted pre-vote.
func (n *Node) handlePreVoteReply(now time.Duration, from string, reply PreVoteReply) {
	c := &n.viewChange
	if reply.RequestID != c.preVoteID || c.proposer != nil {
		return
	}
	if slices.Contains(c.supporters, from) || !n.view.IsVoter(from) {
		return
	}
	c.supporters = append(c.supporters, from)
	n.countPreVotes(now)
}

// countPreVotes starts a proposal once a majority has granted the pre-vote.
func (n *Node) countPreVotes(now time.Duration) {
	if n.viewChange.preVoteID == 0 || len(n.viewChange.supporters) < n.view.Majority() {
		return
	}
	n.viewChange.preVoteID = 0
	n.startProposal(now)
}
