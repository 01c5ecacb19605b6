package chain

import (
	"slices"
	"time"

	"raventrestle/coordination/view"
)

// leaseMargin covers the difference in speed of two steady clocks over a lease.
const leaseMargin = 50 * time.Millisecond

// helloEvery is the time between two calls for the head; farPing between pings to a silent outsider.
const (
	helloInterval                 = 250 * time.Millisecond
	unresponsiveHeartbeatInterval = 600 * time.Millisecond
)

// failureDetector is the watch over the head, or as the head over the others.
type failureDetector struct {
	epochEnteredAt        time.Duration // the epoch began here
	headHeardAt           time.Duration // newest ping, or the start of a grace
	echoedSentAt          time.Duration // newest own answer that the head has confirmed, on its clock
	echoChangedAt         time.Duration // it changed
	headStepsDown         bool          // the head asks to be replaced
	heartbeatReceived     bool          // by the head, in this epoch
	headCommitIndex       uint64
	headLastIndex         uint64
	helloSentAt           time.Duration
	misdirectedAnsweredAt time.Duration // a message to the former member at this address was last answered
	previousLeaseExpiry   time.Duration
	leaderSince           time.Duration
	liveIdentities        []string // as last counted by the head
	durableReplicas       int      // others that hold everything, as the head has told
}

// membershipTable is the head's list of the members, as last told.
type membershipTable struct {
	version uint64
	members []view.Member
	live    []bool
}

// resetFailureDetector gives the head of the epoch time to be heard.
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

// recoverFromStall gives everybody time to be heard after the process stood still. A lease that is over is dropped
// and must be confirmed anew; one that still holds is as good as before, because it counts on the clock alone.
func (n *Node) recoverFromStall(now time.Duration) {
	holds := n.leaseExpiry(now) > now
	n.detector.headHeardAt, n.detector.echoChangedAt = now, now
	n.viewChange.suspectedSince = 0
	for _, p := range n.peers {
		p.heardAt, p.progressAt, p.heartbeatSentAt, p.steadySince = now, now, 0, 0
		if !holds {
			p.confirmedSentAt = 0
		}
	}
	if !holds {
		n.detector.leaderSince = 0
	}
}

// headSuspected tells whether the head is taken for dead, or does not hear this node.
func (n *Node) headSuspected(now time.Duration) bool {
	return n.headUnresponsive(now, n.timing.SuspectTimeout)
}

func (n *Node) headUnresponsive(now, patience time.Duration) bool {
	return n.detector.headStepsDown || now-n.detector.headHeardAt > patience || now-n.detector.echoChangedAt > patience+2*n.timing.HeartbeatInterval
}

// isLive tells whether the head has heard the peer lately.
func (n *Node) isLive(now time.Duration, p *peer) bool {
	return now-p.heardAt <= n.timing.SuspectTimeout
}

// runFailureDetector sends what is due: pings by the head, calls for the head by the others.
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

func (n *Node) runDiscovery(now time.Duration) {
	due := max(n.detector.helloSentAt, n.detector.epochEnteredAt) + helloInterval
	if n.detector.helloSentAt > 0 && now < due {
		n.wakeBy(due)
		return
	}
	n.detector.helloSentAt = now
	n.expirePeers(now)
	n.wakeBy(now + helloInterval)
	sent := []string{n.self.Address}
	for _, p := range n.peers {
		if !slices.Contains(sent, p.member.Address) {
			sent = append(sent, p.member.Address)
			n.sendTo(p.member.Address, Message{Hello: &Hello{Member: n.self}})
		}
	}
	for _, seed := range n.config.Seeds {
		if !slices.Contains(sent, seed) {
			sent = append(sent, seed)
			n.sendTo(seed, Message{Hello: &Hello{Member: n.self}})
		}
	}
}

// runHeartbeats pings whom it is time for. Who is due soon goes with the others: answers that come together prove a later
// moment, and the node wakes once.
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

// heartbeatDueAt is when the peer is to be pinged next: outsiders as often as the others while they answer, so that their
// proofs are as young.
func (n *Node) heartbeatDueAt(now time.Duration, p *peer) time.Duration {
	switch {
	case p.heartbeatSentAt == 0:
		return now
	case inView(n.view, p.member.Identity) || n.isLive(now, p):
		return p.heartbeatSentAt + n.timing.HeartbeatInterval
	}
	return p.heartbeatSentAt + unresponsiveHeartbeatInterval
}

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

// updateLiveness notes a change among the live members, so that the others are told.
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

// majorityIsLive tells whether the head hears enough voters to decide a view, as far as it knows by now.
func (n *Node) majorityIsLive(now time.Duration) bool {
	return n.countVoters(func(p *peer) bool { return n.isLive(now, p) }) >= n.view.Majority()
}

// majorityReplies tells whether enough voters have answered the head in this epoch.
func (n *Node) majorityReplies(now time.Duration) bool {
	return n.countVoters(func(p *peer) bool { return p.replied && n.isLive(now, p) }) >= n.view.Majority()
}

// countVoters counts the voters of whom it holds, and the node itself.
func (n *Node) countVoters(holds func(p *peer) bool) int {
	count := 0
	for _, voter := range n.view.Voters {
		if voter.Identity == n.self.Identity {
			count++
			continue
		}
		if p := n.findPeer(voter.Identity); p != nil && holds(p) {
			count++
		}
	}
	return count
}

// handleHeartbeat takes in the head's word and answers it.
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

// noteHeadHeard notes that the head is heard and whether it hears this node. After a silence in either direction what was
// asked for meanwhile is taken for lost.
func (n *Node) noteHeadHeard(now, echo time.Duration) {
	silent := now-n.detector.headHeardAt > n.timing.SuspectTimeout
	if echo != n.detector.echoedSentAt {
		silent = silent || now-n.detector.echoChangedAt > n.timing.SuspectTimeout
		n.detector.echoedSentAt, n.detector.echoChangedAt = echo, now
	}
	n.detector.headHeardAt, n.detector.heartbeatReceived = now, true
	if silent {
		n.catchUp.requestedAt, n.catchUp.attempts = 0, 0
	}
}

func (n *Node) adoptMembership(now time.Duration, ping Heartbeat) {
	n.membership = membershipTable{version: ping.MembershipVersion, members: ping.Members, live: ping.Live}
	before := len(n.peers)
	for _, member := range ping.Members {
		n.learnMember(now, member)
	}
	if len(n.peers) != before {
		n.knownMembers, n.unsavedProgress = n.members(), true
	}
}

// handleHeartbeatReply takes in an answer. It renews the lease when the voter has promised no later epoch.
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

// recordEcho notes the newest answer, and has the first of a contact echoed at once.
func (n *Node) recordEcho(now time.Duration, p *peer, pong HeartbeatReply) {
	if pong.HeartbeatSentAt <= p.echoedSentAt {
		return
	}
	if pong.ReceiptGeneration != p.echoGeneration {
		p.heartbeatSentAt = 0
	}
	p.echoedSentAt, p.echoReceivedAt, p.echoGeneration = pong.HeartbeatSentAt, now, pong.ReceiptGeneration
}

// leaseExpiry is the end of the lease that a majority of the voters has confirmed.
func (n *Node) leaseExpiry(now time.Duration) time.Duration {
	since := n.majorityConfirmedAt(now)
	if since == 0 {
		return 0
	}
	return since + n.timing.LeaseTTL
}

// majorityConfirmedAt is the newest moment at or after which a majority of the voters was asked for all their newest
// confirmations of this epoch; 0 when there is none.
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

// updateLease notes the beginning and the end of the own tenure.
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

// Status returns what the node knows of itself.
func (n *Node) Status(now time.Duration) Status {
	status := Status{
		Self: n.self, View: n.resolveView(n.view), CommitIndex: n.commitIndex, PreviousLeaseExpiry: n.detector.previousLeaseExpiry,
		LiveMembers: n.liveMembers(now), ConfirmedAt: n.ConfirmedAt(now),
	}
	if n.IsLeader(now) {
		status.IsLeader = true
		status.LeaseExpiry = n.leaseExpiry(now)
		status.LeaderSince = n.detector.leaderSince
	}
	return status
}

// IsLeader tells whether the node may act as leader now.
func (n *Node) IsLeader(now time.Duration) bool {
	return n.isHead() && n.detector.leaderSince > 0 && n.leaseExpiry(now) > now
}

func (n *Node) liveMembers(now time.Duration) []view.Member {
	live := []view.Member{n.self}
	if n.isHead() {
		for _, p := range n.peers {
			if p.replied && n.isLive(now, p) {
				live = append(live, p.member)
			}
		}
		return live
	}
	if n.view.Epoch == 0 || now-n.detector.headHeardAt > n.timing.SuspectTimeout {
		return live
	}
	for i, member := range n.membership.members {
		if i < len(n.membership.live) && n.membership.live[i] && member.Identity != n.self.Identity {
			live = append(live, member)
		}
	}
	return live
}
