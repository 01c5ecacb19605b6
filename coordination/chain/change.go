package chain

import (
	"slices"
	"time"

	"raventrestle/coordination/view"
)

// gatherLive is how long the head waits for the promises of voters that it hears.
const livePromiseWindow = 250 * time.Millisecond

// viewChange is the volatile part of deciding the next view.
type viewChange struct {
	proposer       *view.Proposer
	startedAt      time.Duration
	preparedAt     time.Duration
	retryAt        time.Duration // of the next attempt
	highestRound   uint64        // highest seen in this epoch
	suspectedSince time.Duration // the head is silent or this voter waits for a decision
	preVoteID      uint64        // number of the poll that is out
	supporters     []string
}

// runViewChange drives the decision of the next view: the head when something about the members should change, any
// other voter when the head is silent or an attempt was left unfinished.
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

// runProposal begins the second phase when enough voters have promised, or gives the attempt up.
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

// promisesGathered tells whether no more promises are worth waiting for.
func (n *Node) promisesGathered(now time.Duration) bool {
	c := &n.viewChange
	if c.proposer.PromiseCount() == len(n.view.Voters) {
		return true
	}
	patience := n.timing.PromiseWindow
	if n.isHead() {
		patience = livePromiseWindow
		waits := slices.ContainsFunc(n.view.Voters, func(voter view.Member) bool {
			p := n.findPeer(voter.Identity)
			return p != nil && n.isLive(now, p) && !p.lastReply.DiskFailing && !c.proposer.HasPromiseFrom(voter.Identity)
		})
		if !waits {
			return true
		}
	}
	n.wakeBy(c.preparedAt + patience)
	return now-c.preparedAt >= patience
}

// runReconfiguration starts an attempt when the head wants another view and hears enough voters to have it.
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

// runTakeover asks the other voters for support, in turn by rank, while there is trouble.
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

// takeoverDelay is the voter's place in the order of attempts, as a delay: the chain after its head first, the head last.
func (n *Node) takeoverDelay() time.Duration {
	turn := 0
	for i, member := range n.view.Chain {
		if member.Identity == n.self.Identity {
			turn = i - 1
		}
	}
	switch {
	case n.isHead():
		turn = len(n.view.Chain) - 1
	case !n.inChain():
		turn = len(n.view.Chain)
	}
	return time.Duration(turn)*n.timing.RankBackoff + n.jitter(n.timing.RankBackoff/2)
}

func (n *Node) jitter(bound time.Duration) time.Duration {
	return time.Duration(n.random.Int64N(int64(bound) + 1))
}

func (n *Node) startPreVote(now time.Duration) {
	c := &n.viewChange
	c.preVoteID = n.random.Uint64() | 1
	c.supporters = []string{n.self.Identity}
	for _, voter := range n.view.Voters {
		n.send(n.resolve(voter), Message{PreVote: &PreVote{RequestID: c.preVoteID}})
	}
	n.countPreVotes(now)
}

// handlePreVote supports an attempt when this voter misses the head too, or an attempt was left unfinished.
func (n *Node) handlePreVote(now time.Duration, address, from string, poll PreVote) {
	if !n.view.IsVoter(n.self.Identity) || n.diskFailing {
		return
	}
	support := n.sealed() || from == n.view.Head().Identity
	switch {
	case n.isHead():
		support = support || !n.majorityIsLive(now)
	default:
		support = support || n.headUnresponsive(now, n.timing.PreVoteTimeout)
	}
	if support {
		n.sendTo(address, Message{To: from, PreVoteReply: &PreVoteReply{RequestID: poll.RequestID}})
	}
}

func (n *Node) handlePreVoteReply(now time.Duration, from string, reply PreVoteReply) {
	c := &n.viewChange
	if reply.RequestID != c.preVoteID || c.proposer != nil || slices.Contains(c.supporters, from) || !n.view.IsVoter(from) {
		return
	}
	c.supporters = append(c.supporters, from)
	n.countPreVotes(now)
}

func (n *Node) countPreVotes(now time.Duration) {
	if n.viewChange.preVoteID == 0 || len(n.viewChange.supporters) < n.view.Majority() {
		return
	}
	n.viewChange.preVoteID = 0
	n.startProposal(now)
}

// startProposal opens a ballot above all that this voter has seen, with its own promise first.
func (n *Node) startProposal(now time.Duration) {
	c := &n.viewChange
	next := n.view.Epoch + 1
	if n.acceptor.Epoch == next {
		c.highestRound = max(c.highestRound, n.acceptor.Promised.Round)
	}
	c.highestRound++
	ballot := view.ProposalNumber{Round: c.highestRound, Proposer: n.self.Identity}
	c.proposer = &view.Proposer{Current: n.view, Number: ballot}
	c.startedAt, c.preparedAt = now, 0
	n.wakeBy(now + n.timing.ProposalTimeout + time.Millisecond)
	if promise, ok := n.makePromise(ballot); ok {
		c.proposer.AddPromise(promise)
	}
	for _, voter := range n.view.Voters {
		n.send(n.resolve(voter), Message{Prepare: &Prepare{View: n.view, Number: ballot}})
	}
	n.runProposal(now)
}

// makePromise has the own acceptor answer a ballot for the next epoch.
func (n *Node) makePromise(ballot view.ProposalNumber) (view.Promise, bool) {
	next := n.view.Epoch + 1
	before := n.acceptor
	if !n.acceptor.Prepare(next, ballot) {
		return view.Promise{Number: ballot, Promised: before.Promised}, false
	}
	acceptor := n.acceptor
	n.persist(record{Acceptor: &acceptor})
	return view.Promise{
		Number: ballot, Granted: true, Accepted: acceptor.Accepted, Value: acceptor.Value,
		Report: view.Report{
			Member: n.self, CompleteEpoch: n.completeEpoch, LastIndex: n.log.lastIndex(), LastEpoch: n.log.lastEpoch(), Leaving: n.leaving,
		},
	}, true
}

// handlePrepare promises not to take part in this epoch any more, nor in lower ballots for the next one.
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

// handlePromise counts a voter's promise, or learns of a ballot that is ahead.
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

// proposeView sends the value: one that may be decided already, else the plan.
func (n *Node) proposeView(now time.Duration) {
	c := &n.viewChange
	value, bound := c.proposer.RequiredValue()
	if !bound {
		value = n.resolveView(view.Plan(n.view, c.proposer.Reports(), n.reconfiguration(now)))
		if n.config.Mutation.HeadIgnoresLog {
			slices.Reverse(value.Chain)
		}
	}
	c.proposer.Value = value
	ballot := c.proposer.Number
	for _, voter := range n.view.Voters {
		n.send(n.resolve(voter), Message{Accept: &Accept{Number: ballot, Value: value}})
	}
	if n.acceptView(ballot, value) {
		n.handleAccepted(now, n.self.Identity, Accepted{Number: ballot})
	}
}

func (n *Node) acceptView(ballot view.ProposalNumber, value view.View) bool {
	if value.Epoch != n.view.Epoch+1 || !n.acceptor.Accept(ballot, value, n.config.Mutation) {
		return false
	}
	acceptor := n.acceptor
	n.persist(record{Acceptor: &acceptor})
	return true
}

func (n *Node) handleAccept(now time.Duration, address, from string, m Accept) {
	if !n.view.IsVoter(n.self.Identity) || n.diskFailing || !n.acceptView(m.Number, m.Value) {
		return
	}
	if n.viewChange.proposer != nil && n.viewChange.proposer.Number.Before(m.Number) {
		n.viewChange.proposer = nil
	}
	n.sendTo(address, Message{To: from, Accepted: &Accepted{Number: m.Number}})
}

// handleAccepted decides the view once a majority holds it, enters it and tells everybody.
func (n *Node) handleAccepted(now time.Duration, from string, m Accepted) {
	c := &n.viewChange
	if c.proposer == nil || c.proposer.Number != m.Number || c.proposer.Value.Epoch == 0 || !c.proposer.AddAcceptance(from) {
		return
	}
	decided := ViewDecision{View: c.proposer.Value, PriorLeasesExpired: n.previousLeasesExpired(now)}
	proposer := c.proposer
	n.enterView(now, decided.View, decided.PriorLeasesExpired)
	for _, voter := range proposer.Current.Voters { // who did not promise counts as silent until it is heard
		if p := n.findPeer(voter.Identity); p != nil && !proposer.HasPromiseFrom(voter.Identity) {
			p.heardAt = min(p.heardAt, now-n.timing.SuspectTimeout-time.Millisecond)
		}
	}
	for _, p := range n.peers {
		n.send(p.member, Message{ViewDecision: &decided})
	}
}

// previousLeasesExpired tells whether no leader of an earlier epoch can still believe in its lease: the head of the epoch that
// ends has promised, and so has dropped its own.
func (n *Node) previousLeasesExpired(now time.Duration) bool {
	return n.viewChange.proposer.HasPromiseFrom(n.view.Head().Identity) && now >= n.detector.previousLeaseExpiry
}
