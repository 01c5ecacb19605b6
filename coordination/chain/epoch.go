package chain

import (
	"time"

	"raventrestle/coordination/view"
)

// Epochs at one member.
//
// Invariants:
//
//   - The epoch of the node's view only increases. A view is entered because it was decided, or because another
//     voter's proposal for the epoch after it shows that it was decided.
//   - Promises and acceptances for the entered epoch have no further effect, and the volatile state of the epoch is
//     reset: whether the logs match, which members have answered, which requests are open.
//   - The head's log is complete in its epoch from the start, because view.Plan chooses the head among the members
//     that have everything that was committed. The log of any other member becomes complete once it has every entry
//     that the head had at the start of the epoch.

// viewSendInterval limits how often a view is sent to or requested from one member.
const viewSendInterval = 50 * time.Millisecond

// sendView sends the view to a member that is in an earlier epoch.
func (n *Node) sendView(now time.Duration, identity, address string) {
	if n.view.Epoch == 0 || !n.mayExchangeView(now, identity) {
		return
	}
	decided := ViewDecision{View: n.resolveView(n.view), PriorLeasesExpired: n.priorLeasesExpired}
	n.sendTo(address, Message{To: identity, ViewDecision: &decided})
}

// requestView asks a member that has shown a later epoch for its view.
func (n *Node) requestView(now time.Duration, identity, address string) {
	if n.mayExchangeView(now, identity) {
		n.sendTo(address, Message{To: identity, ViewRequest: &ViewRequest{}})
	}
}

// mayExchangeView reports whether a view may be sent to or requested from the member again, and if so records the
// time.
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

// handleViewDecision enters a view of a later epoch than the node's own.
func (n *Node) handleViewDecision(now time.Duration, d ViewDecision) {
	if d.View.Epoch <= n.view.Epoch || len(d.View.Chain) == 0 {
		return
	}
	n.enterView(now, d.View, d.PriorLeasesExpired)
}

// enterView begins the epoch of the view.
func (n *Node) enterView(now time.Duration, v view.View, priorLeasesExpired bool) {
	formerHead := n.view.Head().Identity
	n.view, n.priorLeasesExpired = v, priorLeasesExpired
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
	if !priorLeasesExpired {
		n.detector.previousLeaseExpiry = now + n.timing.LeaseTTL + leaseMargin
	}
	if formerHead != n.self.Identity {
		n.resetLastHeard(now)
	}
	n.resetVolatile(now)
}

// resetVolatile resets everything that is volatile in an epoch: after a start, a view change or a failed write.
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
