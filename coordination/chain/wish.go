package chain

import (
	"slices"
	"time"

	"raventrestle/coordination/view"
)

// nearEnough is how many entries a standby may lack to be taken into the chain.
const nearEnough = 16

// flapMemory is how long a member's silences count against its admission; flapLimit bounds what they cost.
const (
	flapMemory = 30 * time.Second
	flapLimit  = 5
)

// wanted tells whether the head wants another view than its own.
func (n *Node) wanted(now time.Duration) bool {
	remaining := 0
	out := false
	for _, member := range n.view.Chain {
		if n.wantedOut(now, member.Identity) {
			out = true
		} else {
			remaining++
		}
	}
	if out && remaining+len(n.voterReserves(now)) >= n.minimum() {
		return true
	}
	if n.leaving && n.heirLive(now) {
		return true
	}
	for _, p := range n.peers {
		if n.live(now, p) && p.answered && p.pong.PromisedEpoch > n.view.Epoch {
			return true
		}
	}
	return n.wantedIn(now)
}

// wantedOut tells whether a member of the chain should leave it, and counts its silences.
func (n *Node) wantedOut(now time.Duration, identity string) bool {
	if identity == n.self.Identity {
		return n.leaving
	}
	p := n.find(identity)
	if p == nil {
		return true
	}
	if n.live(now, p) {
		return p.answered && (p.pong.DiskFailing || p.pong.Leaving || n.stuck(now, p))
	}
	n.flap(now, p)
	return true
}

// flap counts a silence once.
func (n *Node) flap(now time.Duration, p *peer) {
	if p.flappedAt >= p.heardAt && p.flappedAt > 0 {
		return
	}
	if now-p.flappedAt > flapMemory {
		p.flaps = 0
	}
	p.flappedAt = now
	p.flaps = min(p.flaps+1, flapLimit)
}

// stuck tells whether a member of the chain makes no progress although its predecessor is ahead.
func (n *Node) stuck(now time.Duration, p *peer) bool {
	place := n.view.ChainIndex(p.member.Identity)
	if place <= 0 {
		return false
	}
	last, active := n.log.last(), n.active
	if place > 1 {
		before := n.find(n.view.Chain[place-1].Identity)
		if before == nil || !before.answered {
			return false
		}
		last, active = before.pong.LastIndex, before.pong.CompleteEpoch
	}
	behind := p.pong.LastIndex < last || (p.pong.CompleteEpoch < n.view.Epoch && active == n.view.Epoch)
	if !behind {
		p.progressAt = now
		return false
	}
	if patience := n.timing.ProgressTimeout + arrival(n.bytesAfter(p.pong.LastIndex)); now-p.progressAt < patience {
		n.wakeBy(p.progressAt + patience)
		return false
	}
	if p.flappedAt < p.progressAt {
		n.flapStuck(now, p)
	}
	return true
}

// bytesAfter counts the commands that follow the index, as far as the log still has them.
func (n *Node) bytesAfter(index uint64) int {
	bytes := 0
	for _, entry := range n.log.after(min(max(index, n.log.base), n.log.last())) {
		bytes += len(entry.Command)
	}
	return bytes
}

func (n *Node) flapStuck(now time.Duration, p *peer) {
	if now-p.flappedAt > flapMemory {
		p.flaps = 1
	}
	p.flappedAt = now
	p.flaps = min(p.flaps+1, flapLimit)
}

// heirLive tells whether another member of the chain can become head.
func (n *Node) heirLive(now time.Duration) bool {
	return slices.ContainsFunc(n.view.Chain, func(member view.Member) bool {
		p := n.find(member.Identity)
		return p != nil && n.live(now, p) && p.answered && p.pong.CompleteEpoch == n.view.Epoch && !p.pong.Leaving
	})
}

// admissible tells whether a member outside the chain has answered steadily and holds what is committed.
func (n *Node) admissible(now time.Duration, p *peer) bool {
	if !p.answered || !n.live(now, p) || p.pong.DiskFailing || p.pong.Leaving || !p.pong.Matched {
		return false
	}
	if p.pong.LastIndex+nearEnough < n.committed || p.steadySince == 0 {
		return false
	}
	settle := n.timing.AdmissionWindow
	if p.flaps > 1 && now-p.flappedAt < flapMemory {
		settle <<= p.flaps - 1
	}
	if now-p.steadySince < settle {
		n.wakeBy(p.steadySince + settle)
		return false
	}
	return true
}

// voterReserves lists the voters outside the chain that can come into it.
func (n *Node) voterReserves(now time.Duration) []view.Member {
	var reserves []view.Member
	for _, voter := range n.view.Voters {
		p := n.find(voter.Identity)
		if p != nil && n.view.ChainIndex(voter.Identity) < 0 && n.admissible(now, p) {
			reserves = append(reserves, voter)
		}
	}
	return reserves
}

// wantedIn tells whether a voter should come into the chain, or a standby should take a vote.
func (n *Node) wantedIn(now time.Duration) bool {
	room := len(n.view.Chain) < view.TargetChainLength(len(n.view.Voters), n.config.FaultTolerance)
	if room && len(n.voterReserves(now)) > 0 {
		return true
	}
	if len(n.standbys(now)) == 0 {
		return false
	}
	voters := len(n.view.Voters)
	if voters < n.minimum() {
		return true // so few have never committed anything
	}
	if len(n.gone(now)) > 0 && n.holdersLive(now) >= n.minimum() {
		return true
	}
	grown := view.MinChainLength(voters+1, n.config.FaultTolerance)
	return voters < n.targetVoters(now) && n.holdersLive(now) >= grown
}

// targetVoters is how many voters the live members should have. While one of the voters is silent there are no more:
// a standby may have to take its vote, and a vote that nobody uses raises the majority for good.
func (n *Node) targetVoters(now time.Duration) int {
	answering := n.countVoters(func(p *peer) bool { return p.answered && n.live(now, p) })
	if answering < len(n.view.Voters) && len(n.view.Voters) >= n.minimum() {
		return len(n.view.Voters)
	}
	members := 1
	for _, p := range n.peers {
		if n.view.IsVoter(p.member.Identity) || n.live(now, p) && p.answered {
			members++
		}
	}
	return view.TargetVoterCount(n.config.FaultTolerance, members)
}

// holdersLive counts the members whose logs are whole in this epoch.
func (n *Node) holdersLive(now time.Duration) int {
	count := 0
	for _, member := range n.view.Chain {
		p := n.find(member.Identity)
		if member.Identity == n.self.Identity || p != nil && n.live(now, p) && p.pong.CompleteEpoch == n.view.Epoch {
			count++
		}
	}
	return count
}

// standbys lists the admissible members without a vote, those of zones without a live voter first.
func (n *Node) standbys(now time.Duration) []view.Member {
	var zones []string
	for _, voter := range n.view.Voters {
		p := n.find(voter.Identity)
		if voter.Identity == n.self.Identity || p != nil && n.live(now, p) {
			zones = append(zones, n.best(voter).Zone)
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

// gone lists the voters that were silent for long, or whose address another identity now answers at.
func (n *Node) gone(now time.Duration) []string {
	var gone []string
	for _, voter := range n.view.Voters {
		p := n.find(voter.Identity)
		if p == nil || n.live(now, p) {
			continue
		}
		replaced := slices.ContainsFunc(n.peers, func(other *peer) bool {
			return other != p && other.member.Address == p.member.Address && other.answered && n.live(now, other)
		})
		if replaced || now-p.heardAt > n.timing.VoterReplaceTimeout {
			gone = append(gone, voter.Identity)
			continue
		}
		n.wakeBy(p.heardAt + n.timing.VoterReplaceTimeout + time.Millisecond)
	}
	return gone
}

// wish is what the next view should be, from what this node knows. Others than the head know only who promises.
func (n *Node) wish(now time.Duration) view.Reconfiguration {
	wish := view.Reconfiguration{FaultTolerance: n.config.FaultTolerance, TargetVoters: len(n.view.Voters), Mutation: n.config.Mutation}
	if !n.isHead() {
		return wish
	}
	wish.TargetVoters = n.targetVoters(now)
	for _, member := range n.view.Chain {
		if n.wantedOut(now, member.Identity) {
			wish.RemoveFromChain = append(wish.RemoveFromChain, member.Identity)
		}
	}
	for _, voter := range n.view.Voters {
		p := n.find(voter.Identity)
		if n.view.ChainIndex(voter.Identity) < 0 && p != nil && !n.admissible(now, p) {
			wish.RemoveFromChain = append(wish.RemoveFromChain, voter.Identity)
		}
	}
	wish.ReplaceVoters = n.gone(now)
	wish.Learners = n.standbys(now)
	return wish
}
