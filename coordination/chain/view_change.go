package chain

import (
	"slices"
	"time"

	"raventrestle/coordination/view"
)

// The decision on the next view: this node's roles in single-decree Paxos for the epoch after its own.
//
// Invariants, which make the view of each epoch unique (see package view for the argument):
//
//   - A promise or an acceptance is on disk before it is sent. This includes the proposer's own.
//   - A proposer never uses a number twice in an epoch: numbers increase, and after a restart they begin above the
//     promise on disk, which is at least as high as every number that the proposer has ever sent.
//   - A promise reports the current state of the log. The voter is sealed from then on: it accepts no more entries in
//     this epoch.
//   - If promises report accepted values, the proposer proposes the one with the highest number. It chooses a view
//     itself only if they report none.

// livePromiseWindow is how long the head waits for the promises of voters that answer it.
const livePromiseWindow = 250 * time.Millisecond

// viewChange is the volatile state of deciding the next view.
type viewChange struct {
	proposer       *view.Proposer // nil while this voter has no proposal
	startedAt      time.Duration  // of the proposal
	preparedAt     time.Duration  // when a majority had promised; 0 before
	retryAt        time.Duration  // no proposal or pre-vote is started before
	highestRound   uint64         // seen in this epoch
	suspectedSince time.Duration  // when the head was first suspected or this voter sealed; 0: neither
	preVoteID      uint64         // RequestID of the pre-vote under way; 0: none
	supporters     []string       // identities of the voters that have granted it
}

// runViewChange drives the decision on the next view: the head when the membership should change, any other voter
// when the head is suspected or a proposal was left unfinished.
func (n *Node) runViewChange(now time.Duration) {
	if n.view.Epoch == 0 || n.diskFailing || !n.view.IsVoter(n.self.Identity) {
		return
	}
	if n.viewChange.proposer != nil {
		n.runProposal(now)
		return
	}
	if n.isHead() && !n.sealed() {
		n.runReconfiguration(now)
		return
	}
	n.runTakeover(now)
}

// runProposal begins the second phase when enough voters have promised, or abandons the proposal at its timeout.
func (n *Node) runProposal(now time.Duration) {
	c := &n.viewChange
	if now-c.startedAt > n.timing.ProposalTimeout {
		c.proposer = nil
		c.retryAt = now + n.jitter(n.timing.RetryInterval)
		n.wakeBy(c.retryAt)
		return
	}
	n.wakeBy(c.startedAt + n.timing.ProposalTimeout + time.Millisecond)
	if c.proposer.Value.Epoch > 0 || !c.proposer.Prepared() {
		return
	}
	if c.preparedAt == 0 {
		c.preparedAt = now
	}
	if n.promisesGathered(now) {
		n.proposeView(now)
	}
}

// promisesGathered reports whether to stop waiting for further promises. It waits for some time because only voters
// that have promised stay in the chain.
func (n *Node) promisesGathered(now time.Duration) bool {
	c := &n.viewChange
	if c.proposer.PromiseCount() == len(n.view.Voters) {
		return true
	}
	window := n.timing.PromiseWindow
	if n.isHead() {
		window = livePromiseWindow
		awaited := slices.ContainsFunc(n.view.Voters, func(voter view.Member) bool {
			p := n.findPeer(voter.Identity)
			return p != nil && n.isLive(now, p) && !p.lastReply.DiskFailing && !c.proposer.HasPromiseFrom(voter.Identity)
		})
		if !awaited {
			return true
		}
	}
	n.wakeBy(c.preparedAt + window)
	return now-c.preparedAt >= window
}

// startProposal starts a proposal with a number above all that this voter has seen, beginning with its own promise.
func (n *Node) startProposal(now time.Duration) {
	c := &n.viewChange
	next := n.view.Epoch + 1
	if n.acceptor.Epoch == next {
		c.highestRound = max(c.highestRound, n.acceptor.Promised.Round)
	}
	c.highestRound++
	number := view.ProposalNumber{Round: c.highestRound, Proposer: n.self.Identity}
	c.proposer = &view.Proposer{Current: n.view, Number: number}
	c.startedAt, c.preparedAt = now, 0
	n.wakeBy(now + n.timing.ProposalTimeout + time.Millisecond)
	if promise, ok := n.makePromise(number); ok {
		c.proposer.AddPromise(promise)
	}
	for _, voter := range n.view.Voters {
		n.send(n.resolve(voter), Message{Prepare: &Prepare{View: n.view, Number: number}})
	}
	n.runProposal(now)
}

// makePromise passes a proposal for the next epoch to the node's own acceptor, and reports whether the acceptor
// promised it.
func (n *Node) makePromise(number view.ProposalNumber) (view.Promise, bool) {
	next := n.view.Epoch + 1
	before := n.acceptor
	if !n.acceptor.Prepare(next, number) {
		return view.Promise{Number: number, Promised: before.Promised}, false
	}
	acceptor := n.acceptor
	n.persist(record{Acceptor: &acceptor})
	return view.Promise{
		Number:   number,
		Granted:  true,
		Accepted: acceptor.Accepted,
		Value:    acceptor.Value,
		Report: view.Report{
			Member:        n.self,
			CompleteEpoch: n.completeEpoch,
			LastIndex:     n.log.lastIndex(),
			LastEpoch:     n.log.lastEpoch(),
			Leaving:       n.leaving,
		},
	}, true
}

// handlePrepare promises to take no further part in this epoch or in lower proposals for the next one.
func (n *Node) handlePrepare(now time.Duration, address, from string, m Prepare) {
	if m.View.Epoch < n.view.Epoch {
		n.sendView(now, from, address)
		return
	}
	if m.View.Epoch > n.view.Epoch {
		if n.diskFailing {
			return
		}
		n.enterView(now, m.View, false)
	}
	if !n.view.IsVoter(n.self.Identity) || n.diskFailing {
		return
	}
	promise, ok := n.makePromise(m.Number)
	if ok && n.viewChange.proposer != nil && n.viewChange.proposer.Number.Before(m.Number) {
		n.viewChange.proposer = nil
		n.viewChange.retryAt = now + n.timing.ProposalTimeout/2 + n.jitter(n.timing.RetryInterval)
	}
	n.sendTo(address, Message{To: from, Promise: &promise})
}

// handlePromise counts a voter's promise, or learns of a higher proposal.
func (n *Node) handlePromise(now time.Duration, promise view.Promise) {
	c := &n.viewChange
	if c.proposer == nil || promise.Number != c.proposer.Number {
		return
	}
	if !promise.Granted {
		c.highestRound = max(c.highestRound, promise.Promised.Round)
		c.proposer = nil
		c.retryAt = now + n.jitter(n.timing.RetryInterval)
		return
	}
	if c.proposer.Value.Epoch == 0 {
		c.proposer.AddPromise(promise)
	}
}

// proposeView begins the second phase. It proposes the value that may already be decided, or a planned view if there
// is none.
func (n *Node) proposeView(now time.Duration) {
	c := &n.viewChange
	value, required := c.proposer.RequiredValue()
	if !required {
		value = n.resolveView(view.Plan(n.view, c.proposer.Reports(), n.reconfiguration(now)))
		if n.config.Mutation.HeadIgnoresLog {
			slices.Reverse(value.Chain)
		}
	}
	c.proposer.Value = value
	number := c.proposer.Number
	for _, voter := range n.view.Voters {
		n.send(n.resolve(voter), Message{Accept: &Accept{Number: number, Value: value}})
	}
	if n.acceptView(number, value) {
		n.handleAccepted(now, n.self.Identity, Accepted{Number: number})
	}
}

// acceptView passes a value to the node's own acceptor and reports whether the acceptor accepted it.
func (n *Node) acceptView(number view.ProposalNumber, value view.View) bool {
	if value.Epoch != n.view.Epoch+1 || !n.acceptor.Accept(number, value, n.config.Mutation) {
		return false
	}
	acceptor := n.acceptor
	n.persist(record{Acceptor: &acceptor})
	return true
}

// handleAccept accepts the value of a proposal unless a higher one was promised.
func (n *Node) handleAccept(now time.Duration, address, from string, m Accept) {
	if !n.view.IsVoter(n.self.Identity) || n.diskFailing || !n.acceptView(m.Number, m.Value) {
		return
	}
	if n.viewChange.proposer != nil && n.viewChange.proposer.Number.Before(m.Number) {
		n.viewChange.proposer = nil
	}
	n.sendTo(address, Message{To: from, Accepted: &Accepted{Number: m.Number}})
}

// handleAccepted enters the view once a majority has accepted it, and announces it to all members.
func (n *Node) handleAccepted(now time.Duration, from string, m Accepted) {
	proposer := n.viewChange.proposer
	if proposer == nil || proposer.Number != m.Number || proposer.Value.Epoch == 0 || !proposer.AddAcceptance(from) {
		return
	}
	decided := ViewDecision{View: proposer.Value, PriorLeasesExpired: n.previousLeasesExpired(now)}
	n.enterView(now, decided.View, decided.PriorLeasesExpired)
	for _, voter := range proposer.Current.Voters { // a voter that has not promised counts as failed until it answers
		if p := n.findPeer(voter.Identity); p != nil && !proposer.HasPromiseFrom(voter.Identity) {
			p.heardAt = min(p.heardAt, now-n.timing.SuspectTimeout-time.Millisecond)
		}
	}
	for _, p := range n.peers {
		n.send(p.member, Message{ViewDecision: &decided})
	}
}

// previousLeasesExpired reports whether no leader of an earlier epoch can still regard its lease as valid: the head of
// the epoch that ends has promised and thereby given up its own lease, and the leases of earlier epochs have expired.
func (n *Node) previousLeasesExpired(now time.Duration) bool {
	return n.viewChange.proposer.HasPromiseFrom(n.view.Head().Identity) && now >= n.detector.previousLeaseExpiry
}
