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
		n.onMisdirected(now, address)
		return
	}
	switch {
	case m.Hello != nil:
		n.onHello(now, address, m)
	case m.ViewRequest != nil:
		n.tellView(now, m.From, address)
	case m.ViewDecision != nil:
		n.onDecided(now, *m.ViewDecision)
	case m.Prepare != nil:
		n.onPrepare(now, address, m.From, *m.Prepare)
	case m.BarrierReply != nil:
		n.requests.barrierPassed(m.BarrierReply.RequestID, m.BarrierReply.Index)
	default:
		if n.sameEpoch(now, address, m) {
			n.receiveInEpoch(now, address, m)
		}
	}
}

// onMisdirected hears a message to the member that was at this address before and has lost its disk. Whoever still
// looks for that one knows the group, also where none of the seeds is left.
func (n *Node) onMisdirected(now time.Duration, address string) {
	if n.view.Epoch > 0 || n.watch.misdirectedAt > 0 && now-n.watch.misdirectedAt < helloEvery {
		return
	}
	n.watch.misdirectedAt = now
	n.sendTo(address, Message{Hello: &Hello{Member: n.self}})
}

// sameEpoch refuses messages of other epochs and sees that the one behind learns of the later one.
func (n *Node) sameEpoch(now time.Duration, address string, m Message) bool {
	switch {
	case m.Epoch < n.view.Epoch && n.config.Mutation.NoEpochCheck && m.Epoch > 0:
		return true
	case m.Epoch < n.view.Epoch:
		n.tellView(now, m.From, address)
		return false
	case m.Epoch > n.view.Epoch:
		n.askView(now, m.From, address)
		return false
	}
	return n.view.Epoch > 0
}

func (n *Node) receiveInEpoch(now time.Duration, address string, m Message) {
	switch {
	case m.Heartbeat != nil:
		n.onPing(now, address, m)
	case m.HeartbeatReply != nil:
		n.onPong(now, m.From, *m.HeartbeatReply)
	case m.Fetch != nil:
		n.onFetch(now, address, m.From, *m.Fetch)
	case m.Append != nil:
		n.onAppend(now, m.From, *m.Append)
	case m.Commit != nil:
		n.onCommit(m.Commit.Index)
	case m.Forward != nil:
		n.onForward(*m.Forward)
	case m.Barrier != nil:
		n.onBarrier(*m.Barrier)
	case m.PreVote != nil:
		n.onPoll(now, address, m.From, *m.PreVote)
	case m.PreVoteReply != nil:
		n.onPollReply(now, m.From, *m.PreVoteReply)
	case m.Promise != nil:
		n.onPromise(now, *m.Promise)
	case m.Accept != nil:
		n.onAccept(now, address, m.From, *m.Accept)
	case m.Accepted != nil:
		n.onAccepted(now, m.From, *m.Accepted)
	}
}

// tellEvery limits how often one member is told or asked for a view.
const tellEvery = 50 * time.Millisecond

// tellView sends the view to a member that is behind.
func (n *Node) tellView(now time.Duration, identity, address string) {
	if n.view.Epoch == 0 || !n.mayTell(now, identity) {
		return
	}
	n.sendTo(address, Message{To: identity, ViewDecision: &ViewDecision{View: n.filled(n.view), PriorLeasesExpired: n.clear}})
}

// askView asks a member that has shown a later epoch for its view.
func (n *Node) askView(now time.Duration, identity, address string) {
	if n.mayTell(now, identity) {
		n.sendTo(address, Message{To: identity, ViewRequest: &ViewRequest{}})
	}
}

func (n *Node) mayTell(now time.Duration, identity string) bool {
	p := n.find(identity)
	if p == nil {
		return true
	}
	if p.toldAt > 0 && now-p.toldAt < tellEvery {
		return false
	}
	p.toldAt = now
	return true
}

// onHello takes in a member and shows it the way to the head.
func (n *Node) onHello(now time.Duration, address string, m Message) {
	p := n.learn(now, m.Hello.Member)
	if p == nil || m.From != m.Hello.Member.Identity {
		return
	}
	p.helloAt = now
	n.buryFormer(now, p.member)
	switch {
	case m.Epoch < n.view.Epoch:
		n.tellView(now, m.From, address)
	case m.Epoch > n.view.Epoch:
		n.askView(now, m.From, address)
	case n.isHead():
		n.ping(now, p)
	}
}

// buryFormer takes the member for dead that was known at the address of another: it has lost its disk. Its own word
// would take this back.
func (n *Node) buryFormer(now time.Duration, member view.Member) {
	for _, former := range n.peers {
		if former.member.Address != member.Address || former.member.Identity == member.Identity {
			continue
		}
		former.heardAt = min(former.heardAt, now-n.timing.SuspectTimeout-time.Millisecond)
		if former.member.Identity == n.view.Head().Identity {
			n.watch.yielding = true
		}
	}
}

// onDecided enters a view that is later than the node's own.
func (n *Node) onDecided(now time.Duration, d ViewDecision) {
	if d.View.Epoch <= n.view.Epoch || len(d.View.Chain) == 0 {
		return
	}
	n.enter(now, d.View, d.PriorLeasesExpired)
}

// enter begins a view. What was promised towards it is done with.
func (n *Node) enter(now time.Duration, v view.View, clean bool) {
	before := n.view.Head().Identity
	n.view, n.clear = v, clean
	n.learnView(now, v)
	r := record{View: &v}
	if n.isHead() || n.config.Mutation.EarlyComplete && n.inChain() {
		n.active = v.Epoch
		r.Active = v.Epoch
	}
	if !n.refusing {
		n.known, n.unsaved = n.members(), true
		n.persist(r)
	}
	if !clean {
		n.watch.previousMayAct = now + n.timing.LeaseTTL + leaseMargin
	}
	if before != n.self.Identity {
		n.giveGrace(now)
	}
	n.begin(now)
}

// giveGrace has all peers count as heard now, for a head that has not watched them so far.
func (n *Node) giveGrace(now time.Duration) {
	for _, p := range n.peers {
		p.heardAt = now
	}
}

// begin resets all that is volatile in an epoch: after a start, a change of view or a refused write.
func (n *Node) begin(now time.Duration) {
	n.matched = n.whole()
	n.start = n.log.last()
	n.feed = feed{number: n.feed.number, settled: n.feed.number}
	n.change = change{}
	for _, p := range n.peers {
		p.next, p.waiting, p.asked, p.backlog = 0, false, nil, backlog{}
		p.confirmed, p.pong, p.answered = 0, HeartbeatReply{}, false
		p.progressAt = now
	}
	n.learnView(now, n.view)
	for _, member := range n.known {
		n.learn(now, member)
	}
	n.beginWatch(now)
	n.beginContact()
	n.requests.resend()
	n.commitHere()
}
