package chain

import (
	"slices"
	"time"

	"raventrestle/coordination/view"
)

// peer is what the node knows of another member.
type peer struct {
	member view.Member

	// As the head sees it.
	pingedAt    time.Duration
	heardAt     time.Duration // its newest answer, or the start of the grace that it was given
	answered    bool          // in this epoch or since the last silence
	steadySince time.Duration // start of its unbroken answers
	confirmed   time.Duration // sending time of the newest ping of this life that it has answered in this epoch
	echoed      time.Duration // sending time of the newest ping of this life that it has answered
	echoedAt    time.Duration // that answer came
	echoNumber  uint64        // Contact of that answer
	pong        HeartbeatReply
	tableHeld   uint64 // version of the table that it holds
	progressAt  time.Duration
	flaps       int           // how often it fell silent while in the chain
	flappedAt   time.Duration // the last time
	helloAt     time.Duration

	// As its upstream member sees it.
	next    uint64 // index that it is sent next; 0 until it has asked
	waiting bool   // it will ask for the rest
	asked   *Fetch // not yet answered, because this node's own log isn't whole
	askedAs string // address of the question
	backlog backlog

	toldAt time.Duration // a view was last told or asked for
}

// find returns the peer with the identity, or nil.
func (n *Node) find(identity string) *peer {
	for _, p := range n.peers {
		if p.member.Identity == identity {
			return p
		}
	}
	return nil
}

// learn takes in a member. Fuller knowledge of a known one replaces what was held.
func (n *Node) learn(now time.Duration, member view.Member) *peer {
	if member.Identity == n.self.Identity || member.Identity == "" {
		return nil
	}
	p := n.find(member.Identity)
	if p == nil {
		p = &peer{member: member, heardAt: now, progressAt: now, helloAt: now}
		n.peers = append(n.peers, p)
		n.tableVersion++
		return p
	}
	if member != p.member && member.Zone+member.Tag != "" {
		p.member = member
		n.tableVersion++
	}
	return p
}

// learnView takes in the members of a view.
func (n *Node) learnView(now time.Duration, v view.View) {
	for _, member := range v.Chain {
		n.learn(now, member)
	}
	for _, member := range v.Voters {
		n.learn(now, member)
	}
}

// best returns the fullest knowledge of a member.
func (n *Node) best(member view.Member) view.Member {
	if member.Identity == n.self.Identity {
		return n.self
	}
	if p := n.find(member.Identity); p != nil && p.member.Zone+p.member.Tag != "" {
		return p.member
	}
	return member
}

// filled returns the view with the fullest knowledge of its members.
func (n *Node) filled(v view.View) view.View {
	fill := func(members []view.Member) []view.Member {
		filled := make([]view.Member, 0, len(members))
		for _, member := range members {
			filled = append(filled, n.best(member))
		}
		return filled
	}
	return view.View{Epoch: v.Epoch, Chain: fill(v.Chain), Voters: fill(v.Voters)}
}

// concerned tells whether the member is in the view.
func concerned(v view.View, identity string) bool {
	return v.ChainIndex(identity) >= 0 || v.IsVoter(identity)
}

// forgetPeers drops members outside the view that were not heard for long.
func (n *Node) forgetPeers(now time.Duration) {
	const patience = 10 * time.Second
	before := len(n.peers)
	n.peers = slices.DeleteFunc(n.peers, func(p *peer) bool {
		return !concerned(n.view, p.member.Identity) && now-max(p.heardAt, p.helloAt) > patience
	})
	if len(n.peers) != before {
		n.tableVersion++
	}
}

// members lists the node itself and its peers, for the disk and for others.
func (n *Node) members() []view.Member {
	members := []view.Member{n.self}
	for _, p := range n.peers {
		members = append(members, p.member)
	}
	return members
}
