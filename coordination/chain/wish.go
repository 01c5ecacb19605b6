package chain

import (
	"slices"
	"time"

	"raventrestle/coordination/view"
)

// nearEnough is how many entries a standby may lack to be taken into the chain.
const maxAdmissionLag = 16

// flapMemory is how long a member's silences count against its admission; flapLimit bounds what they cost.
const (
	flapWindow = 30 * time.Second
	maxFlaps   = 5
)

// reconfigurationNeeded tells whether the head wants another view than its own.
func (n *Node) reconfigurationNeeded(now time.Duration) bool {
	remaining := 0
	out := false
	for _, member := range n.view.Chain {
		if n.shouldRemove(now, member.Identity) {
			out = true
		} else {
			remaining++
		}
	}
	if out && remaining+len(n.admissibleVoters(now)) >= n.minChainLength() {
		return true
	}
	if n.leaving && n.successorReady(now) {
		return true
	}
	for _, p := range n.peers {
		if n.isLive(now, p) && p.replied && p.lastReply.PromisedEpoch > n.view.Epoch {
			return true
		}
	}
	return n.shouldAdmit(now)
}

// shouldRemove tells whether a member of the chain should leave it, and counts its silences.
func (n *Node) shouldRemove(now time.Duration, identity string) bool {
	if identity == n.self.Identity {
		return n.leaving
	}
	p := n.findPeer(identity)
	if p == nil {
		return true
	}
	if n.isLive(now, p) {
		return p.replied && (p.lastReply.DiskFailing || p.lastReply.Leaving || n.makesNoProgress(now, p))
	}
	n.recordFlap(now, p)
	return true
}

// recordFlap counts a silence once.
func (n *Node) recordFlap(now time.Duration, p *peer) {
	if p.flappedAt >= p.heardAt && p.flappedAt > 0 {
		return
	}
	if now-p.flappedAt > flapWindow {
		p.flaps = 0
	}
	p.flappedAt = now
	p.flaps = min(p.flaps+1, maxFlaps)
}

// makesNoProgress tells whether a member of the chain makes no progress although its predecessor is ahead.
func (n *Node) makesNoProgress(now time.Duration, p *peer) bool {
	place := n.view.ChainIndex(p.member.Identity)
	if place <= 0 {
		return false
	}
	last, active := n.log.lastIndex(), n.completeEpoch
	if place > 1 {
		before := n.findPeer(n.view.Chain[place-1].Identity)
		if before == nil || !before.replied {
			return false
		}
		last, active = before.lastReply.LastIndex, before.lastReply.CompleteEpoch
	}
	behind := p.lastReply.LastIndex < last || (p.lastReply.CompleteEpoch < n.view.Epoch && active == n.view.Epoch)
	if !behind {
		p.progressAt = now
		return false
	}
	if patience := n.timing.ProgressTimeout + transmissionTime(n.bytesAfter(p.lastReply.LastIndex)); now-p.progressAt < patience {
		n.wakeBy(p.progressAt + patience)
		return false
	}
	if p.flappedAt < p.progressAt {
		n.recordProgressFlap(now, p)
	}
	return true
}

// bytesAfter counts the commands that follow the index, as far as the log still has them.
func (n *Node) bytesAfter(index uint64) int {
	bytes := 0
	for _, entry := range n.log.after(min(max(index, n.log.baseIndex), n.log.lastIndex())) {
		bytes += len(entry.Command)
	}
	return bytes
}

func (n *Node) recordProgressFlap(now time.Duration, p *peer) {
	if now-p.flappedAt > flapWindow {
		p.flaps = 1
	}
	p.flappedAt = now
	p.flaps = min(p.flaps+1, maxFlaps)
}

// successorReady tells whether another member of the chain can become head.
func (n *Node) successorReady(now time.Duration) bool {
	return slices.ContainsFunc(n.view.Chain, func(member view.Member) bool {
		p := n.findPeer(member.Identity)
		return p != nil && n.isLive(now, p) && p.replied && p.lastReply.CompleteEpoch == n.view.Epoch && !p.lastReply.Leaving
	})
}

// admissible tells whether a member outside the chain has answered steadily and holds what is committed.
func (n *Node) admissible(now time.Duration, p *peer) bool {
	if !p.replied || !n.isLive(now, p) || p.lastReply.DiskFailing || p.lastReply.Leaving || !p.lastReply.Matched {
		return false
	}
	if p.lastReply.LastIndex+maxAdmissionLag < n.commitIndex || p.steadySince == 0 {
		return false
	}
	settle := n.timing.AdmissionWindow
	if p.flaps > 1 && now-p.flappedAt < flapWindow {
		settle <<= p.flaps - 1
	}
	if now-p.steadySince < settle {
		n.wakeBy(p.steadySince + settle)
		return false
	}
	return true
}

// admissibleVoters lists the voters outside the chain that can come into it.
func (n *Node) admissibleVoters(now time.Duration) []view.Member {
	var reserves []view.Member
	for _, voter := range n.view.Voters {
		p := n.findPeer(voter.Identity)
		if p != nil && n.view.ChainIndex(voter.Identity) < 0 && n.admissible(now, p) {
			reserves = append(reserves, voter)
		}
	}
	return reserves
}

// shouldAdmit tells whether a voter should come into the chain, or a standby should take a vote.
func (n *Node) shouldAdmit(now time.Duration) bool {
	room := len(n.view.Chain) < view.TargetChainLength(len(n.view.Voters), n.config.FaultTolerance)
	if room && len(n.admissibleVoters(now)) > 0 {
		return true
	}
	if len(n.admissibleLearners(now)) == 0 {
		return false
	}
	voters := len(n.view.Voters)
	if voters < n.minChainLength() {
		return true // so few have never committed anything
	}
	if len(n.votersToReplace(now)) > 0 && n.liveCompleteMembers(now) >= n.minChainLength() {
		return true
	}
	grown := view.MinChainLength(voters+1, n.config.FaultTolerance)
	return voters < n.targetVoterCount(now) && n.liveCompleteMembers(now) >= grown
}

// targetVoterCount is how many voters the live members should have. While one of the voters is silent there are no more:
// a standby may have to take its vote, and a vote that nobody uses raises the majority for good.
func (n *Node) targetVoterCount(now time.Duration) int {
	answering := n.countVoters(func(p *peer) bool { return p.replied && n.isLive(now, p) })
	if answering < len(n.view.Voters) && len(n.view.Voters) >= n.minChainLength() {
		return len(n.view.Voters)
	}
	members := 1
	for _, p := range n.peers {
		if n.view.IsVoter(p.member.Identity) || n.isLive(now, p) && p.replied {
			members++
		}
	}
	return view.TargetVoterCount(n.config.FaultTolerance, members)
}

// liveCompleteMembers counts the members whose logs are whole in this epoch.
func (n *Node) liveCompleteMembers(now time.Duration) int {
	count := 0
	for _, member := range n.view.Chain {
		p := n.findPeer(member.Identity)
		if member.Identity == n.self.Identity || p != nil && n.isLive(now, p) && p.lastReply.CompleteEpoch == n.view.Epoch {
			count++
		}
	}
	return count
}

// admissibleLearners lists the admissible members without a vote, those of zones without a live voter first.
func (n *Node) admissibleLearners(now time.Duration) []view.Member {
	var zones []string
	for _, voter := range n.view.Voters {
		p := n.findPeer(voter.Identity)
		if voter.Identity == n.self.Identity || p != nil && n.isLive(now, p) {
			zones = append(zones, n.resolve(voter).Zone)
		}
	}
	var first, second []view.Member
	for _, p := range n.peers {
		switch {
		case n.view.IsVoter(p.member.Identity) || !n.admissible(now, p):
		case slices.Contains(zones, p.member.Zone):
			second = append(second, p.member)
		default:
			first = append(first, p.member)
		}
	}
	return append(first, second...)
}

// votersToReplace lists the voters that were silent for long, or whose address another identity now answers at.
func (n *Node) votersToReplace(now time.Duration) []string {
	var gone []string
	for _, voter := range n.view.Voters {
		p := n.findPeer(voter.Identity)
		if p == nil || n.isLive(now, p) {
			continue
		}
		replaced := slices.ContainsFunc(n.peers, func(other *peer) bool {
			return other != p && other.member.Address == p.member.Address && other.replied && n.isLive(now, other)
		})
		if replaced || now-p.heardAt > n.timing.VoterReplaceTimeout {
			gone = append(gone, voter.Identity)
			continue
		}
		n.wakeBy(p.heardAt + n.timing.VoterReplaceTimeout + time.Millisecond)
	}
	return gone
}

// reconfiguration is what the next view should be, from what this node knows. Others than the head know only who promises.
func (n *Node) reconfiguration(now time.Duration) view.Reconfiguration {
	wish := view.Reconfiguration{FaultTolerance: n.config.FaultTolerance, TargetVoters: len(n.view.Voters), Mutation: n.config.Mutation}
	if !n.isHead() {
		return wish
	}
	wish.TargetVoters = n.targetVoterCount(now)
	for _, member := range n.view.Chain {
		if n.shouldRemove(now, member.Identity) {
			wish.RemoveFromChain = append(wish.RemoveFromChain, member.Identity)
		}
	}
	for _, voter := range n.view.Voters {
		p := n.findPeer(voter.Identity)
		if n.view.ChainIndex(voter.Identity) < 0 && p != nil && !n.admissible(now, p) {
			wish.RemoveFromChain = append(wish.RemoveFromChain, voter.Identity)
		}
	}
	wish.ReplaceVoters = n.votersToReplace(now)
	wish.Learners = n.admissibleLearners(now)
	return wish
}
