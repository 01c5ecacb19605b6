package chain

import (
	"slices"
	"time"
)

// Exchange of heartbeats between the head and the other members.
//
// Invariant: a reply counts only for the incarnation of the head that sent the heartbeat, and it is dated by the
// sending time of the heartbeat on the head's own clock. What a reply confirms was therefore true after that time,
// whatever the delays.

// runHeartbeats sends the heartbeats that are due, and together with them those that are due soon. Heartbeats that are
// sent together let a majority confirm a later time, and the node wakes up only once.
func (n *Node) runHeartbeats(now time.Duration) {
	until := now
	if slices.ContainsFunc(n.peers, func(p *peer) bool { return n.heartbeatDueAt(now, p) <= now }) {
		until += n.timing.HeartbeatInterval / 4
	}
	for _, p := range n.peers {
		if n.heartbeatDueAt(now, p) <= until {
			n.sendHeartbeat(now, p)
		}
		n.wakeBy(n.heartbeatDueAt(now, p))
		n.wakeBy(p.heardAt + n.timing.SuspectTimeout + time.Millisecond)
	}
}

// heartbeatDueAt returns when the next heartbeat to the peer is due. A member outside the view that answers gets
// heartbeats as often as the members of the view, so that its proofs of freshness are as recent.
func (n *Node) heartbeatDueAt(now time.Duration, p *peer) time.Duration {
	switch {
	case p.heartbeatSentAt == 0:
		return now
	case inView(n.view, p.member.Identity) || n.isLive(now, p):
		return p.heartbeatSentAt + n.timing.HeartbeatInterval
	}
	return p.heartbeatSentAt + unresponsiveHeartbeatInterval
}

// sendHeartbeat sends a heartbeat, with the list of members if the peer lacks its version.
func (n *Node) sendHeartbeat(now time.Duration, p *peer) {
	p.heartbeatSentAt = now
	n.recordProofCandidate(now)
	proof := n.currentProof(now)
	heartbeat := Heartbeat{
		Incarnation:       n.incarnation,
		SentAt:            now,
		Echo:              p.echoedSentAt,
		CommitIndex:       n.commitIndex,
		LastIndex:         n.log.lastIndex(),
		StepDown:          n.diskFailing,
		MembershipVersion: n.membershipVersion,
		DurableReplicas:   n.durableReplicasExcluding(now, p),
		EchoReceivedAt:    p.echoReceivedAt,
		EchoGeneration:    p.echoGeneration,
		ProofAt:           proof.at,
		ProofIndex:        proof.index,
	}
	if p.membershipVersion != n.membershipVersion {
		heartbeat.Members = n.members()
		heartbeat.Live = []bool{true}
		for _, other := range n.peers {
			heartbeat.Live = append(heartbeat.Live, n.isLive(now, other))
		}
	}
	n.send(p.member, Message{Heartbeat: &heartbeat})
}

// handleHeartbeat processes what the head reports, and replies.
func (n *Node) handleHeartbeat(now time.Duration, address string, m Message) {
	heartbeat := *m.Heartbeat
	if m.From != n.view.Head().Identity && !n.config.Mutation.NoEpochCheck {
		return
	}
	n.recordHeadHeard(now, heartbeat.Echo)
	n.detector.headStepsDown = heartbeat.StepDown
	n.detector.headCommitIndex, n.detector.headLastIndex = heartbeat.CommitIndex, heartbeat.LastIndex
	n.detector.durableReplicas = heartbeat.DurableReplicas
	if len(heartbeat.Members) > 0 {
		n.adoptMembership(now, heartbeat)
	}
	n.introduceToHead(now, address)
	n.advanceCommitIndex(heartbeat.CommitIndex)
	n.handleProof(now, heartbeat)
	reply := HeartbeatReply{
		Incarnation:       heartbeat.Incarnation,
		HeartbeatSentAt:   heartbeat.SentAt,
		CommitIndex:       n.commitIndex,
		LastIndex:         n.log.lastIndex(),
		CompleteEpoch:     n.completeEpoch,
		Matched:           n.logMatched,
		DiskFailing:       n.diskFailing,
		Leaving:           n.leaving,
		MembershipVersion: n.membership.version,
		ReceiptGeneration: n.freshness.generation,
	}
	if n.sealed() {
		reply.PromisedEpoch = n.acceptor.Epoch
	}
	n.sendTo(address, Message{To: m.From, HeartbeatReply: &reply})
	if n.config.Mutation.NoEpochCheck {
		n.out.Messages[len(n.out.Messages)-1].Message.Epoch = m.Epoch
	}
}

// handleHeartbeatReply processes what a member reports. It extends the lease unless the member has promised a proposal
// for a later epoch.
func (n *Node) handleHeartbeatReply(now time.Duration, from string, reply HeartbeatReply) {
	p := n.findPeer(from)
	if p == nil || !n.isHead() || reply.Incarnation != n.incarnation || reply.HeartbeatSentAt > now {
		return
	}
	if reply.LastIndex != p.lastReply.LastIndex || reply.CompleteEpoch != p.lastReply.CompleteEpoch || !p.replied {
		p.progressAt = now
	}
	p.heardAt, p.replied = max(p.heardAt, now), true
	if p.steadySince == 0 {
		p.steadySince = now
	}
	p.lastReply, p.membershipVersion = reply, reply.MembershipVersion
	n.recordEcho(now, p, reply)
	if reply.PromisedEpoch <= n.view.Epoch {
		p.confirmedSentAt = max(p.confirmedSentAt, reply.HeartbeatSentAt)
	}
	if from == n.view.Tail().Identity && reply.CompleteEpoch == n.view.Epoch {
		n.advanceCommitIndex(reply.CommitIndex)
	}
}

// recordEcho records the newest reply, which later heartbeats echo. The first reply of a receipt generation is echoed
// at once.
func (n *Node) recordEcho(now time.Duration, p *peer, reply HeartbeatReply) {
	if reply.HeartbeatSentAt <= p.echoedSentAt {
		return
	}
	if reply.ReceiptGeneration != p.echoGeneration {
		p.heartbeatSentAt = 0
	}
	p.echoedSentAt, p.echoReceivedAt, p.echoGeneration = reply.HeartbeatSentAt, now, reply.ReceiptGeneration
}
