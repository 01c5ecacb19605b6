package chain

import (
	"slices"
	"time"

	"raventrestle/coordination/view"
)

// peer is what the node knows of another member.
type peer struct {
	member view.Member

	// Used by the head.
	heartbeatSentAt   time.Duration
	heardAt           time.Duration // newest reply, or the start of a grace window
	replied           bool          // in this epoch, and since it was last suspected
	steadySince       time.Duration // start of its uninterrupted replies
	confirmedSentAt   time.Duration // sending time of the newest heartbeat that it has confirmed in this epoch
	echoedSentAt      time.Duration // sending time of the newest heartbeat of this incarnation that it has answered
	echoReceivedAt    time.Duration // when that reply arrived
	echoGeneration    uint64        // ReceiptGeneration of that reply
	lastReply         HeartbeatReply
	membershipVersion uint64        // of the list of members that it has
	progressAt        time.Duration // when its log last grew or was up to date
	flaps             int           // number of its failures while in the chain
	flappedAt         time.Duration // when it last failed
	helloReceivedAt   time.Duration

	// Used by the member's upstream member.
	nextIndex            uint64 // index of the next entry to send; 0: not known yet
	fetchesMore          bool   // it will fetch the rest
	deferredFetch        *Fetch // not yet answered, because this node's own log is not complete
	deferredFetchAddress string
	inFlight             inFlightAnswer

	viewSentAt time.Duration // when a view was last sent to or requested from it
}

// membershipTable is the head's list of the members, as last received.
type membershipTable struct {
	version uint64
	members []view.Member
	live    []bool // for each of members
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

// learnMember adds a member to the peers. If the member is known, a description with a zone or tag replaces the former
// one.
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

// learnViewMembers adds the members of a view to the peers.
func (n *Node) learnViewMembers(now time.Duration, v view.View) {
	for _, member := range v.Chain {
		n.learnMember(now, member)
	}
	for _, member := range v.Voters {
		n.learnMember(now, member)
	}
}

// resolve returns the most complete description of a member that the node knows.
func (n *Node) resolve(member view.Member) view.Member {
	if member.Identity == n.self.Identity {
		return n.self
	}
	if p := n.findPeer(member.Identity); p != nil && p.member.Zone+p.member.Tag != "" {
		return p.member
	}
	return member
}

// resolveView returns the view with the most complete descriptions of its members.
func (n *Node) resolveView(v view.View) view.View {
	resolveAll := func(members []view.Member) []view.Member {
		resolved := make([]view.Member, 0, len(members))
		for _, member := range members {
			resolved = append(resolved, n.resolve(member))
		}
		return resolved
	}
	return view.View{Epoch: v.Epoch, Chain: resolveAll(v.Chain), Voters: resolveAll(v.Voters)}
}

// inView reports whether the identity is in the chain or a voter of the view.
func inView(v view.View, identity string) bool {
	return v.ChainIndex(identity) >= 0 || v.IsVoter(identity)
}

// expirePeers removes members outside the view that were not heard for peerTTL.
func (n *Node) expirePeers(now time.Duration) {
	const peerTTL = 10 * time.Second
	before := len(n.peers)
	n.peers = slices.DeleteFunc(n.peers, func(p *peer) bool {
		return !inView(n.view, p.member.Identity) && now-max(p.heardAt, p.helloReceivedAt) > peerTTL
	})
	if len(n.peers) != before {
		n.membershipVersion++
	}
}

// members lists the node itself and its peers, for the disk and for other members.
func (n *Node) members() []view.Member {
	members := []view.Member{n.self}
	for _, p := range n.peers {
		members = append(members, p.member)
	}
	return members
}

// adoptMembership stores the head's list of members and adds them to the peers.
func (n *Node) adoptMembership(now time.Duration, heartbeat Heartbeat) {
	n.membership = membershipTable{version: heartbeat.MembershipVersion, members: heartbeat.Members, live: heartbeat.Live}
	before := len(n.peers)
	for _, member := range heartbeat.Members {
		n.learnMember(now, member)
	}
	if len(n.peers) != before {
		n.knownMembers, n.unsavedProgress = n.members(), true
	}
}
