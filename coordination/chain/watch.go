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
	helloEvery = 250 * time.Millisecond
	farPing    = 600 * time.Millisecond
)

// watch is the watch over the head, or as the head over the others.
type watch struct {
	wake           time.Duration
	enteredAt      time.Duration // the epoch began here
	headHeard      time.Duration // newest ping, or the start of a grace
	echo           time.Duration // newest own answer that the head has confirmed, on its clock
	echoAt         time.Duration // it changed
	yielding       bool          // the head asks to be replaced
	pinged         bool          // by the head, in this epoch
	headCommitted  uint64
	headLast       uint64
	helloAt        time.Duration
	misdirectedAt  time.Duration // a message to the former member at this address was last answered
	previousMayAct time.Duration
	leaderSince    time.Duration
	live           []string // as last counted by the head
	copies         int      // others that hold everything, as the head has told
}

// table is the head's list of the members, as last told.
type table struct {
	version uint64
	members []view.Member
	live    []bool
}

// beginWatch gives the head of the epoch time to be heard.
func (n *Node) beginWatch(now time.Duration) {
	grace := now
	if now-n.startedAt < n.timing.GraceWindow {
		grace = max(now, n.startedAt+n.timing.GraceWindow-n.timing.SuspectTimeout)
	}
	n.watch.headHeard, n.watch.echo, n.watch.echoAt = grace, 0, grace
	n.watch.enteredAt = now
	n.watch.yielding, n.watch.pinged = false, false
	n.watch.headCommitted, n.watch.headLast = 0, 0
	n.watch.copies = 0
	n.watch.leaderSince = 0
	n.watch.live = nil
	for _, p := range n.peers {
		p.pingedAt = 0
		if n.isHead() && grace > now {
			p.heardAt = grace
		}
	}
}

// forgetLiveness gives everybody time to be heard after the process stood still. A lease that is over is dropped
// and must be confirmed anew; one that still holds is as good as before, because it counts on the clock alone.
func (n *Node) forgetLiveness(now time.Duration) {
	holds := n.leaseUntil(now) > now
	n.watch.headHeard, n.watch.echoAt = now, now
	n.change.troubleSince = 0
	for _, p := range n.peers {
		p.heardAt, p.progressAt, p.pingedAt, p.steadySince = now, now, 0, 0
		if !holds {
			p.confirmed = 0
		}
	}
	if !holds {
		n.watch.leaderSince = 0
	}
}

// headSuspected tells whether the head is taken for dead, or does not hear this node.
func (n *Node) headSuspected(now time.Duration) bool {
	return n.headSilent(now, n.timing.SuspectTimeout)
}

func (n *Node) headSilent(now, patience time.Duration) bool {
	return n.watch.yielding || now-n.watch.headHeard > patience || now-n.watch.echoAt > patience+2*n.timing.HeartbeatInterval
}

// live tells whether the head has heard the peer lately.
func (n *Node) live(now time.Duration, p *peer) bool { return now-p.heardAt <= n.timing.SuspectTimeout }

// runWatch sends what is due: pings by the head, calls for the head by the others.
func (n *Node) runWatch(now time.Duration) {
	if n.view.Epoch > 0 && n.isHead() {
		n.countLive(now)
		n.runPings(now)
		n.countLease(now)
		if n.majorityLive(now) {
			return
		}
	} else if n.watch.pinged && now-n.watch.headHeard <= n.timing.SuspectTimeout {
		n.wakeBy(n.watch.headHeard + n.timing.SuspectTimeout)
		return
	}
	n.runHello(now)
}

func (n *Node) runHello(now time.Duration) {
	due := max(n.watch.helloAt, n.watch.enteredAt) + helloEvery
	if n.watch.helloAt > 0 && now < due {
		n.wakeBy(due)
		return
	}
	n.watch.helloAt = now
	n.forgetPeers(now)
	n.wakeBy(now + helloEvery)
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

// runPings pings whom it is time for. Who is due soon goes with the others: answers that come together prove a later
// moment, and the node wakes once.
func (n *Node) runPings(now time.Duration) {
	until := now
	if slices.ContainsFunc(n.peers, func(p *peer) bool { return n.pingDue(now, p) <= now }) {
		until += n.timing.HeartbeatInterval / 4
	}
	for _, p := range n.peers {
		if n.pingDue(now, p) <= until {
			n.ping(now, p)
		}
		n.wakeBy(n.pingDue(now, p))
		n.wakeBy(p.heardAt + n.timing.SuspectTimeout + time.Millisecond)
	}
}

// pingDue is when the peer is to be pinged next: outsiders as often as the others while they answer, so that their
// proofs are as young.
func (n *Node) pingDue(now time.Duration, p *peer) time.Duration {
	switch {
	case p.pingedAt == 0:
		return now
	case concerned(n.view, p.member.Identity) || n.live(now, p):
		return p.pingedAt + n.timing.HeartbeatInterval
	}
	return p.pingedAt + farPing
}

func (n *Node) ping(now time.Duration, p *peer) {
	p.pingedAt = now
	n.mark(now)
	proof := n.proved(now)
	ping := Heartbeat{
		Incarnation: n.life, SentAt: now, Echo: p.echoed, CommitIndex: n.committed, LastIndex: n.log.last(),
		StepDown: n.refusing, MembershipVersion: n.tableVersion, DurableReplicas: n.copiesBeside(now, p),
		EchoReceivedAt: p.echoedAt, EchoGeneration: p.echoNumber, ProofAt: proof.at, ProofIndex: proof.index,
	}
	if p.tableHeld != n.tableVersion {
		ping.Members = n.members()
		ping.Live = []bool{true}
		for _, other := range n.peers {
			ping.Live = append(ping.Live, n.live(now, other))
		}
	}
	n.send(p.member, Message{Heartbeat: &ping})
}

// countLive notes a change among the live members, so that the others are told.
func (n *Node) countLive(now time.Duration) {
	live := make([]string, 0, len(n.peers))
	for _, p := range n.peers {
		if n.live(now, p) {
			live = append(live, p.member.Identity)
			continue
		}
		p.steadySince, p.answered = 0, false
	}
	if !slices.Equal(live, n.watch.live) {
		n.watch.live = live
		n.tableVersion++
		n.forgetPeers(now)
	}
}

// majorityLive tells whether the head hears enough voters to decide a view, as far as it knows by now.
func (n *Node) majorityLive(now time.Duration) bool {
	return n.countVoters(func(p *peer) bool { return n.live(now, p) }) >= n.view.Majority()
}

// majorityAnswers tells whether enough voters have answered the head in this epoch.
func (n *Node) majorityAnswers(now time.Duration) bool {
	return n.countVoters(func(p *peer) bool { return p.answered && n.live(now, p) }) >= n.view.Majority()
}

// countVoters counts the voters of whom it holds, and the node itself.
func (n *Node) countVoters(holds func(p *peer) bool) int {
	count := 0
	for _, voter := range n.view.Voters {
		if voter.Identity == n.self.Identity {
			count++
			continue
		}
		if p := n.find(voter.Identity); p != nil && holds(p) {
			count++
		}
	}
	return count
}

// onPing takes in the head's word and answers it.
func (n *Node) onPing(now time.Duration, address string, m Message) {
	ping := *m.Heartbeat
	if m.From != n.view.Head().Identity && !n.config.Mutation.NoEpochCheck {
		return
	}
	n.hearHead(now, ping.Echo)
	n.watch.yielding = ping.StepDown
	n.watch.headCommitted, n.watch.headLast = ping.CommitIndex, ping.LastIndex
	n.watch.copies = ping.DurableReplicas
	if len(ping.Members) > 0 {
		n.takeTable(now, ping)
	}
	n.learnCommitted(ping.CommitIndex)
	n.onProof(now, ping)
	pong := HeartbeatReply{
		Incarnation: ping.Incarnation, HeartbeatSentAt: ping.SentAt, CommitIndex: n.committed, LastIndex: n.log.last(), CompleteEpoch: n.active,
		Matched: n.matched, DiskFailing: n.refusing, Leaving: n.leaving, MembershipVersion: n.table.version,
		ReceiptGeneration: n.contact.number,
	}
	if n.wedged() {
		pong.PromisedEpoch = n.acceptor.Epoch
	}
	n.sendTo(address, Message{To: m.From, HeartbeatReply: &pong})
	if n.config.Mutation.NoEpochCheck {
		n.out.Messages[len(n.out.Messages)-1].Message.Epoch = m.Epoch
	}
}

// hearHead notes that the head is heard and whether it hears this node. After a silence in either direction what was
// asked for meanwhile is taken for lost.
func (n *Node) hearHead(now, echo time.Duration) {
	silent := now-n.watch.headHeard > n.timing.SuspectTimeout
	if echo != n.watch.echo {
		silent = silent || now-n.watch.echoAt > n.timing.SuspectTimeout
		n.watch.echo, n.watch.echoAt = echo, now
	}
	n.watch.headHeard, n.watch.pinged = now, true
	if silent {
		n.feed.askedAt, n.feed.tries = 0, 0
	}
}

func (n *Node) takeTable(now time.Duration, ping Heartbeat) {
	n.table = table{version: ping.MembershipVersion, members: ping.Members, live: ping.Live}
	before := len(n.peers)
	for _, member := range ping.Members {
		n.learn(now, member)
	}
	if len(n.peers) != before {
		n.known, n.unsaved = n.members(), true
	}
}

// onPong takes in an answer. It renews the lease when the voter has promised no later epoch.
func (n *Node) onPong(now time.Duration, from string, pong HeartbeatReply) {
	p := n.find(from)
	if p == nil || !n.isHead() || pong.Incarnation != n.life || pong.HeartbeatSentAt > now {
		return
	}
	if pong.LastIndex != p.pong.LastIndex || pong.CompleteEpoch != p.pong.CompleteEpoch || !p.answered {
		p.progressAt = now
	}
	p.heardAt, p.answered = max(p.heardAt, now), true
	if p.steadySince == 0 {
		p.steadySince = now
	}
	p.pong, p.tableHeld = pong, pong.MembershipVersion
	n.takeEcho(now, p, pong)
	if pong.PromisedEpoch <= n.view.Epoch {
		p.confirmed = max(p.confirmed, pong.HeartbeatSentAt)
	}
	if from == n.view.Tail().Identity && pong.CompleteEpoch == n.view.Epoch {
		n.learnCommitted(pong.CommitIndex)
	}
}

// takeEcho notes the newest answer, and has the first of a contact echoed at once.
func (n *Node) takeEcho(now time.Duration, p *peer, pong HeartbeatReply) {
	if pong.HeartbeatSentAt <= p.echoed {
		return
	}
	if pong.ReceiptGeneration != p.echoNumber {
		p.pingedAt = 0
	}
	p.echoed, p.echoedAt, p.echoNumber = pong.HeartbeatSentAt, now, pong.ReceiptGeneration
}

// leaseUntil is the end of the lease that a majority of the voters has confirmed.
func (n *Node) leaseUntil(now time.Duration) time.Duration {
	since := n.confirmedSince(now)
	if since == 0 {
		return 0
	}
	return since + n.timing.LeaseTTL
}

// confirmedSince is the newest moment at or after which a majority of the voters was asked for all their newest
// confirmations of this epoch; 0 when there is none.
func (n *Node) confirmedSince(now time.Duration) time.Duration {
	if !n.proves() {
		return 0
	}
	var confirmed []time.Duration
	for _, voter := range n.view.Voters {
		if voter.Identity == n.self.Identity {
			confirmed = append(confirmed, now)
			continue
		}
		if p := n.find(voter.Identity); p != nil && p.confirmed > 0 {
			confirmed = append(confirmed, p.confirmed)
		}
	}
	if len(confirmed) < n.view.Majority() {
		return 0
	}
	slices.Sort(confirmed)
	return confirmed[len(confirmed)-n.view.Majority()]
}

// countLease notes the beginning and the end of the own tenure.
func (n *Node) countLease(now time.Duration) {
	until := n.leaseUntil(now)
	if until <= now || now < n.watch.previousMayAct {
		n.watch.leaderSince = 0
		if n.watch.previousMayAct > now {
			n.wakeBy(n.watch.previousMayAct)
		}
		return
	}
	n.wakeBy(until)
	if n.watch.leaderSince == 0 {
		n.watch.leaderSince = now
	}
}

// Status returns what the node knows of itself.
func (n *Node) Status(now time.Duration) Status {
	status := Status{
		Self: n.self, View: n.filled(n.view), CommitIndex: n.committed, PreviousLeaseExpiry: n.watch.previousMayAct,
		LiveMembers: n.liveMembers(now), ConfirmedAt: n.ConfirmedAt(now),
	}
	if n.IsLeader(now) {
		status.IsLeader = true
		status.LeaseExpiry = n.leaseUntil(now)
		status.LeaderSince = n.watch.leaderSince
	}
	return status
}

// IsLeader tells whether the node may act as leader now.
func (n *Node) IsLeader(now time.Duration) bool {
	return n.isHead() && n.watch.leaderSince > 0 && n.leaseUntil(now) > now
}

func (n *Node) liveMembers(now time.Duration) []view.Member {
	live := []view.Member{n.self}
	if n.isHead() {
		for _, p := range n.peers {
			if p.answered && n.live(now, p) {
				live = append(live, p.member)
			}
		}
		return live
	}
	if n.view.Epoch == 0 || now-n.watch.headHeard > n.timing.SuspectTimeout {
		return live
	}
	for i, member := range n.table.members {
		if i < len(n.table.live) && n.table.live[i] && member.Identity != n.self.Identity {
			live = append(live, member)
		}
	}
	return live
}
