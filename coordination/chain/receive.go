package chain

import (
	"time"

	"raventrestle/coordination/view"
)

// receive sorts a message by its epoch, then hands its body on.
func (n *Node) receive(now time.Duration, address string, m Message) {
	if m.From == n.self.Identity {
		return
	}
	if m.To != "" && m.To != n.self.Identity {
		n.handleMisdirected(now, address)
		return
	}
	switch {
	case m.Hello != nil:
		n.handleHello(now, address, m)
	case m.ViewRequest != nil:
		n.sendView(now, m.From, address)
	case m.ViewDecision != nil:
		n.handleViewDecision(now, *m.ViewDecision)
	case m.Prepare != nil:
		n.handlePrepare(now, address, m.From, *m.Prepare)
	case m.BarrierReply != nil:
		n.pending.barrierAnswered(m.BarrierReply.RequestID, m.BarrierReply.Index)
	default:
		if n.checkEpoch(now, address, m) {
			n.receiveInEpoch(now, address, m)
		}
	}
}

// handleMisdirected hears a message to the member that was at this address before and has lost its disk. Whoever still
// looks for that one knows the group, also where none of the seeds is left.
func (n *Node) handleMisdirected(now time.Duration, address string) {
	if n.view.Epoch > 0 || n.detector.misdirectedAnsweredAt > 0 && now-n.detector.misdirectedAnsweredAt < helloInterval {
		return
	}
	n.detector.misdirectedAnsweredAt = now
	n.sendTo(address, Message{Hello: &Hello{Member: n.self}})
}

// checkEpoch refuses messages of other epochs and sees that the one behind learns of the later one.
func (n *Node) checkEpoch(now time.Duration, address string, m Message) bool {
	switch {
	case m.Epoch < n.view.Epoch && n.config.Mutation.NoEpochCheck && m.Epoch > 0:
		return true
	case m.Epoch < n.view.Epoch:
		n.sendView(now, m.From, address)
		return false
	case m.Epoch > n.view.Epoch:
		n.requestView(now, m.From, address)
		return false
	}
	return n.view.Epoch > 0
}

func (n *Node) receiveInEpoch(now time.Duration, address string, m Message) {
	switch {
	case m.Heartbeat != nil:
		n.handleHeartbeat(now, address, m)
	case m.HeartbeatReply != nil:
		n.handleHeartbeatReply(now, m.From, *m.HeartbeatReply)
	case m.Fetch != nil:
		n.handleFetch(now, address, m.From, *m.Fetch)
	case m.Append != nil:
		n.handleAppend(now, m.From, *m.Append)
	case m.Commit != nil:
		n.handleCommit(m.Commit.Index)
	case m.Forward != nil:
		n.handleForward(*m.Forward)
	case m.Barrier != nil:
		n.handleBarrier(*m.Barrier)
	case m.PreVote != nil:
		n.handlePreVote(now, address, m.From, *m.PreVote)
	case m.PreVoteReply != nil:
		n.handlePreVoteReply(now, m.From, *m.PreVoteReply)
	case m.Promise != nil:
		n.handlePromise(now, *m.Promise)
	case m.Accept != nil:
		n.handleAccept(now, address, m.From, *m.Accept)
	case m.Accepted != nil:
		n.handleAccepted(now, m.From, *m.Accepted)
	}
}

// tellEvery limits how often one member is told or asked for a view.
const viewSendInterval = 50 * time.Millisecond

// sendView sends the view to a member that is behind.
func (n *Node) sendView(now time.Duration, identity, address string) {
	if n.view.Epoch == 0 || !n.mayExchangeView(now, identity) {
		return
	}
	n.sendTo(address, Message{To: identity, ViewDecision: &ViewDecision{View: n.resolveView(n.view), PriorLeasesExpired: n.priorLeasesExpired}})
}

// requestView asks a member that has shown a later epoch for its view.
func (n *Node) requestView(now time.Duration, identity, address string) {
	if n.mayExchangeView(now, identity) {
		n.sendTo(address, Message{To: identity, ViewRequest: &ViewRequest{}})
	}
}

func (n *Node) mayExchangeView(now time.Duration, identity string) bool {
	p := n.findPeer(identity)
	if p == nil {
		return true
	}
	if p.viewSentAt > 0 && now-p.viewSentAt < viewSendInterval {
		return false
	}
	p.viewSentAt = now
	return true
}

// handleHello takes in a member and shows it the way to the head.
func (n *Node) handleHello(now time.Duration, address string, m Message) {
	p := n.learnMember(now, m.Hello.Member)
	if p == nil || m.From != m.Hello.Member.Identity {
		return
	}
	p.helloReceivedAt = now
	n.suspectFormerIdentity(now, p.member)
	switch {
	case m.Epoch < n.view.Epoch:
		n.sendView(now, m.From, address)
	case m.Epoch > n.view.Epoch:
		n.requestView(now, m.From, address)
	case n.isHead():
		n.sendHeartbeat(now, p)
	}
}

// suspectFormerIdentity takes the member for dead that was known at the address of another: it has lost its disk. Its own word
// would take this back.
func (n *Node) suspectFormerIdentity(now time.Duration, member view.Member) {
	for _, former := range n.peers {
		if former.member.Address != member.Address || former.member.Identity == member.Identity {
			continue
		}
		former.heardAt = min(former.heardAt, now-n.timing.SuspectTimeout-time.Millisecond)
		if former.member.Identity == n.view.Head().Identity {
			n.detector.headStepsDown = true
		}
	}
}

// handleViewDecision enters a view that is later than the node's own.
func (n *Node) handleViewDecision(now time.Duration, d ViewDecision) {
	if d.View.Epoch <= n.view.Epoch || len(d.View.Chain) == 0 {
		return
	}
	n.enterView(now, d.View, d.PriorLeasesExpired)
}

// enterView begins a view. What was promised towards it is done with.
func (n *Node) enterView(now time.Duration, v view.View, clean bool) {
	before := n.view.Head().Identity
	n.view, n.priorLeasesExpired = v, clean
	n.learnViewMembers(now, v)
	r := record{View: &v}
	if n.isHead() || n.config.Mutation.EarlyComplete && n.inChain() {
		n.completeEpoch = v.Epoch
		r.CompleteEpoch = v.Epoch
	}
	if !n.diskFailing {
		n.knownMembers, n.unsavedProgress = n.members(), true
		n.persist(r)
	}
	if !clean {
		n.detector.previousLeaseExpiry = now + n.timing.LeaseTTL + leaseMargin
	}
	if before != n.self.Identity {
		n.resetLastHeard(now)
	}
	n.resetVolatile(now)
}

// resetLastHeard has all peers count as heard now, for a head that has not watched them so far.
func (n *Node) resetLastHeard(now time.Duration) {
	for _, p := range n.peers {
		p.heardAt = now
	}
}

// resetVolatile resets all that is volatile in an epoch: after a start, a change of view or a refused write.
func (n *Node) resetVolatile(now time.Duration) {
	n.logMatched = n.complete()
	n.epochStartIndex = n.log.lastIndex()
	n.catchUp = catchUp{lastRequestID: n.catchUp.lastRequestID, answeredUpTo: n.catchUp.lastRequestID}
	n.viewChange = viewChange{}
	for _, p := range n.peers {
		p.nextIndex, p.fetchesMore, p.deferredFetch, p.inFlight = 0, false, nil, inFlightAnswer{}
		p.confirmedSentAt, p.lastReply, p.replied = 0, HeartbeatReply{}, false
		p.progressAt = now
	}
	n.learnViewMembers(now, n.view)
	for _, member := range n.knownMembers {
		n.learnMember(now, member)
	}
	n.resetFailureDetector(now)
	n.resetFreshness()
	n.pending.resendAll()
	n.commitAtTail()
}
