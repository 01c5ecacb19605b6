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
	heartbeatSentAt   time.Duration
	heardAt           time.Duration // its newest answer, or the start of the grace that it was given
	replied           bool          // in this epoch or since the last silence
	steadySince       time.Duration // start of its unbroken answers
	confirmedSentAt   time.Duration // sending time of the newest ping of this life that it has answered in this epoch
	echoedSentAt      time.Duration // sending time of the newest ping of this life that it has answered
	echoReceivedAt    time.Duration // that answer came
	echoGeneration    uint64        // Contact of that answer
	lastReply         HeartbeatReply
	membershipVersion uint64 // version of the table that it holds
	progressAt        time.Duration
	flaps             int           // how often it fell silent while in the chain
	flappedAt         time.Duration // the last time
	helloReceivedAt   time.Duration

	// As its upstream member sees it.
	nextIndex            uint64 // index that it is sent next; 0 until it has asked
	fetchesMore          bool   // it will ask for the rest
	deferredFetch        *Fetch // not yet answered, because this node's own log isn't whole
	deferredFetchAddress string // address of the question
	inFlight             inFlightAnswer

	viewSentAt time.Duration // a view was last told or asked for
}

// findPeer returns the peer with the identity, or nil.
func (n *Node) findPeer(identity string) *peer {
	for _, p := range n.peers {
		if p.member.Identity == identity {
			return p
		}
	}
	return nil
}

// learnMember takes in a member. Fuller knowledge of a known one replaces what was held.
func (n *Node) learnMember(now time.Duration, member view.Member) *peer {
	if member.Identity == n.self.Identity || member.Identity == "" {
		return nil
	}
	p := n.findPeer(member.Identity)
	if p == nil {
		p = &peer{member: member, heardAt: now, progressAt: now, helloReceivedAt: now}
		n.peers = append(n.peers, p)
		n.membershipVersion++
		return p
	}
	if member != p.member && member.Zone+member.Tag != "" {
		p.member = member
		n.membershipVersion++
	}
	return p
}

// learnViewMembers takes in the members of a view.
func (n *Node) learnViewMembers(now time.Duration, v view.View) {
	for _, member := range v.Chain {
		n.learnMember(now, member)
	}
	for _, member := range v.Voters {
		n.learnMember(now, member)
	}
}

// resolve returns the fullest knowledge of a member.
func (n *Node) resolve(member view.Member) view.Member {
	if member.Identity == n.self.Identity {
		return n.self
	}
	if p := n.findPeer(member.Identity); p != nil && p.member.Zone+p.member.Tag != "" {
		return p.member
	}
	return member
}

// resolveView returns the view with the fullest knowledge of its members.
func (n *Node) resolveView(v view.View) view.View {
	fill := func(members []view.Member) []view.Member {
		filled := make([]view.Member, 0, len(members))
		for _, member := range members {
			filled = append(filled, n.resolve(member))
		}
		return filled
	}
	return view.View{Epoch: v.Epoch, Chain: fill(v.Chain), Voters: fill(v.Voters)}
}

// inView tells whether the member is in the view.
func inView(v view.View, identity string) bool {
	return v.ChainIndex(identity) >= 0 || v.IsVoter(identity)
}

// expirePeers drops members outside the view that were not heard for long.
func (n *Node) expirePeers(now time.Duration) {
	const patience = 10 * time.Second
	before := len(n.peers)
	n.peers = slices.DeleteFunc(n.peers, func(p *peer) bool {
		return !inView(n.view, p.member.Identity) && now-max(p.heardAt, p.helloReceivedAt) > patience
	})
	if len(n.peers) != before {
		n.membershipVersion++
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
