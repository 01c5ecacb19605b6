package chain

import (
	"slices"
	"time"

	"raventrestle/coordination/view"
)

// How members find each other and the head: by the seeds, the members known from disk, and the addresses of views.

// helloInterval is the time between two searches for the head.
const helloInterval = 250 * time.Millisecond

// runDiscovery sends a Hello to every known address when it is due.
func (n *Node) runDiscovery(now time.Duration) {
	due := max(n.detector.helloSentAt, n.detector.epochEnteredAt) + helloInterval
	if n.detector.helloSentAt > 0 && now < due {
		n.wakeBy(due)
		return
	}
	n.detector.helloSentAt = now
	n.expirePeers(now)
	n.wakeBy(now + helloInterval)
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

// introduceToHead sends this member's description to the head if the head's list of members has a different one. The
// head lists a founder by its address alone until it receives the founder's Hello, and runDiscovery sends no Hello
// while the head is heard.
func (n *Node) introduceToHead(now time.Duration, address string) {
	isSelf := func(member view.Member) bool { return member.Identity == n.self.Identity }
	position := slices.IndexFunc(n.membership.members, isSelf)
	if position < 0 || n.membership.members[position] == n.self || n.self.Zone+n.self.Tag == "" {
		return // a description without zone and tag would not replace the listed one, see learnMember
	}
	if n.detector.helloSentAt > 0 && now < n.detector.helloSentAt+helloInterval {
		return
	}
	n.detector.helloSentAt = now
	n.sendTo(address, Message{Hello: &Hello{Member: n.self}})
}

// handleHello adds a member to the peers and helps it to find the head: the later view is sent, or a heartbeat if this
// node is the head.
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

// handleMisdirected handles a message for the identity that previously used this address and has lost its disk. The
// sender knows the group, so a member that has no view yet sends it a Hello. This finds the group even if none of the
// seeds is left.
func (n *Node) handleMisdirected(now time.Duration, address string) {
	if n.view.Epoch > 0 || n.detector.misdirectedAnsweredAt > 0 && now-n.detector.misdirectedAnsweredAt < helloInterval {
		return
	}
	n.detector.misdirectedAnsweredAt = now
	n.sendTo(address, Message{Hello: &Hello{Member: n.self}})
}

// suspectFormerIdentity considers a member failed if another identity answers at its address now, because it has lost
// its disk. If it is alive after all, its next reply or heartbeat revokes this.
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
