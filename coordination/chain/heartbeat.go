package chain

import (
	"slices"
	"time"
)

// Exchange of heartbeats between the head and the other members.
//
// Invariant: a reply counts only for the incarnation of the head that asked, and its time is the sending time of the
// heartbeat on the head's own clock. What a reply confirms therefore held after that time, whatever the delays.

// runHeartbeats sends the heartbeats that are due, and with them those that are due soon: replies that come together
// confirm a later moment, and the node wakes once.
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

// heartbeatDueAt returns when the peer is to be sent the next heartbeat. Members outside the view get them as often
// as the others while they answer, so that their proofs are as recent.
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
	ping := Heartbeat{
		Incarnation: n.incarnation, SentAt: now, Echo: p.echoedSentAt, CommitIndex: n.commitIndex, LastIndex: n.log.lastIndex(),
		StepDown: n.diskFailing, MembershipVersion: n.membershipVersion, DurableReplicas: n.durableReplicasBeside(now, p),
		EchoReceivedAt: p.echoReceivedAt, EchoGeneration: p.echoGeneration, ProofAt: proof.at, ProofIndex: proof.index,
	}
	if p.membershipVersion != n.membershipVersion {
		ping.Members = n.members()
		ping.Live = []bool{true}
		for _, other := range n.peers {
			ping.Live = append(ping.Live, n.isLive(now, other))
		}
	}
	n.send(p.member, Message{Heartbeat: &ping})
}

// handleHeartbeat takes in what the head reports, and replies.
func (n *Node) handleHeartbeat(now time.Duration, address string, m Message) {
	ping := *m.Heartbeat
	if m.From != n.view.Head().Identity && !n.config.Mutation.NoEpochCheck {
		return
	}
	n.noteHeadHeard(now, ping.Echo)
	n.detector.headStepsDown = ping.StepDown
	n.detector.headCommitIndex, n.detector.headLastIndex = ping.CommitIndex, ping.LastIndex
	n.detector.durableReplicas = ping.DurableReplicas
	if len(ping.Members) > 0 {
		n.adoptMembership(now, ping)
	}
	n.advanceCommitIndex(ping.CommitIndex)
	n.handleProof(now, ping)
	pong := HeartbeatReply{
		Incarnation: ping.Incarnation, HeartbeatSentAt: ping.SentAt, CommitIndex: n.commitIndex, LastIndex: n.log.lastIndex(), CompleteEpoch: n.completeEpoch,
		Matched: n.logMatched, DiskFailing: n.diskFailing, Leaving: n.leaving, MembershipVersion: n.membership.version,
		ReceiptGeneration: n.freshness.generation,
	}
	if n.sealed() {
		pong.PromisedEpoch = n.acceptor.Epoch
	}
	n.sendTo(address, Message{To: m.From, HeartbeatReply: &pong})
	if n.config.Mutation.NoEpochCheck {
		n.out.Messages[len(n.out.Messages)-1].Message.Epoch = m.Epoch
	}
}

// handleHeartbeatReply takes in what a member reports. It extends the lease unless the member has promised a proposal
// for a later epoch.
func (n *Node) handleHeartbeatReply(now time.Duration, from string, pong HeartbeatReply) {
	p := n.findPeer(from)
	if p == nil || !n.isHead() || pong.Incarnation != n.incarnation || pong.HeartbeatSentAt > now {
		return
	}
	if pong.LastIndex != p.lastReply.LastIndex || pong.CompleteEpoch != p.lastReply.CompleteEpoch || !p.replied {
		p.progressAt = now
	}
	p.heardAt, p.replied = max(p.heardAt, now), true
	if p.steadySince == 0 {
		p.steadySince = now
	}
	p.lastReply, p.membershipVersion = pong, pong.MembershipVersion
	n.recordEcho(now, p, pong)
	if pong.PromisedEpoch <= n.view.Epoch {
		p.confirmedSentAt = max(p.confirmedSentAt, pong.HeartbeatSentAt)
	}
	if from == n.view.Tail().Identity && pong.CompleteEpoch == n.view.Epoch {
		n.advanceCommitIndex(pong.CommitIndex)
	}
}

// recordEcho notes the newest reply for the echo. The first one of a receipt generation is echoed at once.
func (n *Node) recordEcho(now time.Duration, p *peer, pong HeartbeatReply) {
	if pong.HeartbeatSentAt <= p.echoedSentAt {
		return
	}
	if pong.ReceiptGeneration != p.echoGeneration {
		p.heartbeatSentAt = 0
	}
	p.echoedSentAt, p.echoReceivedAt, p.echoGeneration = pong.HeartbeatSentAt, now, pong.ReceiptGeneration
}
