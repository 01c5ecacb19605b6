package chain

import (
	"slices"
	"time"

	"raventrestle/coordination/view"
)

// gatherLive is how long the head waits for the promises of voters that it hears.
const gatherLive = 250 * time.Millisecond

// change is the volatile part of deciding the next view.
type change struct {
	proposer     *view.Proposer
	startedAt    time.Duration
	preparedAt   time.Duration
	notBefore    time.Duration // of the next attempt
	round        uint64        // highest seen in this epoch
	troubleSince time.Duration // the head is silent or this voter waits for a decision
	poll         uint64        // number of the poll that is out
	supporters   []string
}

// runChange drives the decision of the next view: the head when something about the members should change, any
// other voter when the head is silent or an attempt was left unfinished.
func (n *Node) runChange(now time.Duration) {
	if n.view.Epoch == 0 || n.refusing || !n.view.IsVoter(n.self.Identity) {
		return
	}
	if n.change.proposer != nil {
		n.runAttempt(now)
		return
	}
	if n.isHead() && !n.wedged() {
		n.runHeadChange(now)
		return
	}
	n.runTakeover(now)
}

// runAttempt begins the second phase when enough voters have promised, or gives the attempt up.
func (n *Node) runAttempt(now time.Duration) {
	c := &n.change
	if now-c.startedAt > n.timing.ProposalTimeout {
		c.proposer = nil
		c.notBefore = now + n.jitter(n.timing.RetryInterval)
		n.wakeBy(c.notBefore)
		return
	}
	n.wakeBy(c.startedAt + n.timing.ProposalTimeout + time.Millisecond)
	if c.proposer.Value.Epoch > 0 || !c.proposer.Prepared() {
		return
	}
	if c.preparedAt == 0 {
		c.preparedAt = now
	}
	if n.gathered(now) {
		n.propose(now)
	}
}

// gathered tells whether no more promises are worth waiting for.
func (n *Node) gathered(now time.Duration) bool {
	c := &n.change
	if c.proposer.PromiseCount() == len(n.view.Voters) {
		return true
	}
	patience := n.timing.PromiseWindow
	if n.isHead() {
		patience = gatherLive
		waits := slices.ContainsFunc(n.view.Voters, func(voter view.Member) bool {
			p := n.find(voter.Identity)
			return p != nil && n.live(now, p) && !p.pong.DiskFailing && !c.proposer.HasPromiseFrom(voter.Identity)
		})
		if !waits {
			return true
		}
	}
	n.wakeBy(c.preparedAt + patience)
	return now-c.preparedAt >= patience
}

// runHeadChange starts an attempt when the head wants another view and hears enough voters to have it.
func (n *Node) runHeadChange(now time.Duration) {
	if !n.wanted(now) || !n.majorityAnswers(now) {
		return
	}
	if now < n.change.notBefore {
		n.wakeBy(n.change.notBefore)
		return
	}
	n.startAttempt(now)
}

// runTakeover asks the other voters for support, in turn by rank, while there is trouble.
func (n *Node) runTakeover(now time.Duration) {
	c := &n.change
	if !n.wedged() && !n.headSuspected(now) {
		c.troubleSince = 0
		n.wakeBy(n.watch.headHeard + n.timing.SuspectTimeout + time.Millisecond)
		n.wakeBy(n.watch.echoAt + n.timing.SuspectTimeout + 2*n.timing.HeartbeatInterval + time.Millisecond)
		return
	}
	if c.troubleSince == 0 {
		c.troubleSince = now
		c.notBefore = now + n.turn()
		if n.wedged() {
			c.notBefore += n.timing.RetryInterval
		}
	}
	if now < c.notBefore {
		n.wakeBy(c.notBefore)
		return
	}
	c.notBefore = now + n.timing.RetryInterval + n.turn()
	n.wakeBy(c.notBefore)
	n.startPoll(now)
}

// turn is the voter's place in the order of attempts, as a delay: the chain after its head first, the head last.
func (n *Node) turn() time.Duration {
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

func (n *Node) startPoll(now time.Duration) {
	c := &n.change
	c.poll = n.random.Uint64() | 1
	c.supporters = []string{n.self.Identity}
	for _, voter := range n.view.Voters {
		n.send(n.best(voter), Message{PreVote: &PreVote{RequestID: c.poll}})
	}
	n.countSupport(now)
}

// onPoll supports an attempt when this voter misses the head too, or an attempt was left unfinished.
func (n *Node) onPoll(now time.Duration, address, from string, poll PreVote) {
	if !n.view.IsVoter(n.self.Identity) || n.refusing {
		return
	}
	support := n.wedged() || from == n.view.Head().Identity
	switch {
	case n.isHead():
		support = support || !n.majorityLive(now)
	default:
		support = support || n.headSilent(now, n.timing.PreVoteTimeout)
	}
	if support {
		n.sendTo(address, Message{To: from, PreVoteReply: &PreVoteReply{RequestID: poll.RequestID}})
	}
}

func (n *Node) onPollReply(now time.Duration, from string, reply PreVoteReply) {
	c := &n.change
	if reply.RequestID != c.poll || c.proposer != nil || slices.Contains(c.supporters, from) || !n.view.IsVoter(from) {
		return
	}
	c.supporters = append(c.supporters, from)
	n.countSupport(now)
}

func (n *Node) countSupport(now time.Duration) {
	if n.change.poll == 0 || len(n.change.supporters) < n.view.Majority() {
		return
	}
	n.change.poll = 0
	n.startAttempt(now)
}

// startAttempt opens a ballot above all that this voter has seen, with its own promise first.
func (n *Node) startAttempt(now time.Duration) {
	c := &n.change
	next := n.view.Epoch + 1
	if n.acceptor.Epoch == next {
		c.round = max(c.round, n.acceptor.Promised.Round)
	}
	c.round++
	ballot := view.ProposalNumber{Round: c.round, Proposer: n.self.Identity}
	c.proposer = &view.Proposer{Current: n.view, Number: ballot}
	c.startedAt, c.preparedAt = now, 0
	n.wakeBy(now + n.timing.ProposalTimeout + time.Millisecond)
	if promise, ok := n.promise(ballot); ok {
		c.proposer.AddPromise(promise)
	}
	for _, voter := range n.view.Voters {
		n.send(n.best(voter), Message{Prepare: &Prepare{View: n.view, Number: ballot}})
	}
	n.runAttempt(now)
}

// promise has the own acceptor answer a ballot for the next epoch.
func (n *Node) promise(ballot view.ProposalNumber) (view.Promise, bool) {
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
			Member: n.self, CompleteEpoch: n.active, LastIndex: n.log.last(), LastEpoch: n.log.lastEpoch(), Leaving: n.leaving,
		},
	}, true
}

// onPrepare promises not to take part in this epoch any more, nor in lower ballots for the next one.
func (n *Node) onPrepare(now time.Duration, address, from string, m Prepare) {
	if m.View.Epoch < n.view.Epoch {
		n.tellView(now, from, address)
		return
	}
	if m.View.Epoch > n.view.Epoch {
		if n.refusing {
			return
		}
		n.enter(now, m.View, false)
	}
	if !n.view.IsVoter(n.self.Identity) || n.refusing {
		return
	}
	promise, ok := n.promise(m.Number)
	if ok && n.change.proposer != nil && n.change.proposer.Number.Before(m.Number) {
		n.change.proposer = nil
		n.change.notBefore = now + n.timing.ProposalTimeout/2 + n.jitter(n.timing.RetryInterval)
	}
	n.sendTo(address, Message{To: from, Promise: &promise})
}

// onPromise counts a voter's promise, or learns of a ballot that is ahead.
func (n *Node) onPromise(now time.Duration, promise view.Promise) {
	c := &n.change
	if c.proposer == nil || promise.Number != c.proposer.Number {
		return
	}
	if !promise.Granted {
		c.round = max(c.round, promise.Promised.Round)
		c.proposer = nil
		c.notBefore = now + n.jitter(n.timing.RetryInterval)
		return
	}
	if c.proposer.Value.Epoch == 0 {
		c.proposer.AddPromise(promise)
	}
}

// propose sends the value: one that may be decided already, else the plan.
func (n *Node) propose(now time.Duration) {
	c := &n.change
	value, bound := c.proposer.RequiredValue()
	if !bound {
		value = n.filled(view.Plan(n.view, c.proposer.Reports(), n.wish(now)))
		if n.config.Mutation.HeadIgnoresLog {
			slices.Reverse(value.Chain)
		}
	}
	c.proposer.Value = value
	ballot := c.proposer.Number
	for _, voter := range n.view.Voters {
		n.send(n.best(voter), Message{Accept: &Accept{Number: ballot, Value: value}})
	}
	if n.accept(ballot, value) {
		n.onAccepted(now, n.self.Identity, Accepted{Number: ballot})
	}
}

func (n *Node) accept(ballot view.ProposalNumber, value view.View) bool {
	if value.Epoch != n.view.Epoch+1 || !n.acceptor.Accept(ballot, value, n.config.Mutation) {
		return false
	}
	acceptor := n.acceptor
	n.persist(record{Acceptor: &acceptor})
	return true
}

func (n *Node) onAccept(now time.Duration, address, from string, m Accept) {
	if !n.view.IsVoter(n.self.Identity) || n.refusing || !n.accept(m.Number, m.Value) {
		return
	}
	if n.change.proposer != nil && n.change.proposer.Number.Before(m.Number) {
		n.change.proposer = nil
	}
	n.sendTo(address, Message{To: from, Accepted: &Accepted{Number: m.Number}})
}

// onAccepted decides the view once a majority holds it, enters it and tells everybody.
func (n *Node) onAccepted(now time.Duration, from string, m Accepted) {
	c := &n.change
	if c.proposer == nil || c.proposer.Number != m.Number || c.proposer.Value.Epoch == 0 || !c.proposer.AddAcceptance(from) {
		return
	}
	decided := ViewDecision{View: c.proposer.Value, PriorLeasesExpired: n.clean(now)}
	proposer := c.proposer
	n.enter(now, decided.View, decided.PriorLeasesExpired)
	for _, voter := range proposer.Current.Voters { // who did not promise counts as silent until it is heard
		if p := n.find(voter.Identity); p != nil && !proposer.HasPromiseFrom(voter.Identity) {
			p.heardAt = min(p.heardAt, now-n.timing.SuspectTimeout-time.Millisecond)
		}
	}
	for _, p := range n.peers {
		n.send(p.member, Message{ViewDecision: &decided})
	}
}

// clean tells whether no leader of an earlier epoch can still believe in its lease: the head of the epoch that
// ends has promised, and so has dropped its own.
func (n *Node) clean(now time.Duration) bool {
	return n.change.proposer.HasPromiseFrom(n.view.Head().Identity) && now >= n.watch.previousMayAct
}
