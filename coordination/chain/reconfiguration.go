package chain

import (
	"slices"
	"time"

	"raventrestle/coordination/view"
)

// Choice of the membership that the head requests next. These rules decide when a view change is worth the
// interruption. Safety does not depend on them: view.Plan ensures it from the reports of the voters alone.
//
// Invariants:
//
//   - The head starts a view change to remove a member only if the remaining chain, filled up with voters that can be
//     admitted, is long enough to commit.
//   - A learner is admitted only after it has answered without interruption for some time and has nearly all committed
//     entries. Each recent failure after the first doubles that time, up to a bound, as long as the chain can commit
//     without the learner.
//   - The voters change only while enough members have everything that was committed.

// maxAdmissionLag is how many committed entries a member may lack when it is admitted.
const maxAdmissionLag = 16

const (
	flapWindow = 30 * time.Second // how long a member's failures delay its admission
	maxFlaps   = 5                // maximum number of failures that are counted
)

// reconfigurationNeeded reports whether the head should start a view change.
func (n *Node) reconfigurationNeeded(now time.Duration) bool {
	remaining := n.countRemaining(now)
	removing := remaining < len(n.view.Chain)
	if removing && remaining+len(n.admissibleVoters(now)) >= n.minChainLength() {
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

// countRemaining counts the members of the chain that should stay in it, and records the failures of the others.
func (n *Node) countRemaining(now time.Duration) int {
	remaining := 0
	for _, member := range n.view.Chain {
		if !n.shouldRemove(now, member.Identity) {
			remaining++
		}
	}
	return remaining
}

// shouldRemove reports whether a member should leave the chain, and records its failures.
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

// recordFlap counts a failure to answer. Until the member answers again, it is counted only once.
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

// recordProgressFlap counts a failure to make progress. The first failure in the window counts as two, so that even
// the member's next admission takes longer.
func (n *Node) recordProgressFlap(now time.Duration, p *peer) {
	if now-p.flappedAt > flapWindow {
		p.flaps = 1
	}
	p.flappedAt = now
	p.flaps = min(p.flaps+1, maxFlaps)
}

// makesNoProgress reports whether a member of the chain has made no progress for too long although its predecessor is
// ahead. Entries in transit over a slow link extend the timeout.
func (n *Node) makesNoProgress(now time.Duration, p *peer) bool {
	position := n.view.ChainIndex(p.member.Identity)
	if position <= 0 {
		return false
	}
	predecessorIndex, predecessorEpoch := n.log.lastIndex(), n.completeEpoch
	if position > 1 {
		predecessor := n.findPeer(n.view.Chain[position-1].Identity)
		if predecessor == nil || !predecessor.replied {
			return false
		}
		predecessorIndex, predecessorEpoch = predecessor.lastReply.LastIndex, predecessor.lastReply.CompleteEpoch
	}
	reply := p.lastReply
	behind := reply.LastIndex < predecessorIndex ||
		(reply.CompleteEpoch < n.view.Epoch && predecessorEpoch == n.view.Epoch)
	if !behind {
		p.progressAt = now
		return false
	}
	timeout := n.timing.ProgressTimeout + transmissionTime(n.bytesAfter(reply.LastIndex))
	if now-p.progressAt < timeout {
		n.wakeBy(p.progressAt + timeout)
		return false
	}
	if p.flappedAt < p.progressAt {
		n.recordProgressFlap(now, p)
	}
	return true
}

// bytesAfter returns the size of the commands after the index, as far as the log still has them.
func (n *Node) bytesAfter(index uint64) int {
	bytes := 0
	for _, entry := range n.log.after(min(max(index, n.log.baseIndex), n.log.lastIndex())) {
		bytes += len(entry.Command)
	}
	return bytes
}

// successorReady reports whether another member of the chain can become head.
func (n *Node) successorReady(now time.Duration) bool {
	return slices.ContainsFunc(n.view.Chain, func(member view.Member) bool {
		p := n.findPeer(member.Identity)
		return p != nil && n.isLive(now, p) && p.replied && p.lastReply.CompleteEpoch == n.view.Epoch && !p.lastReply.Leaving
	})
}

// admissible reports whether a member outside the chain has answered without interruption for long enough and has
// nearly all committed entries.
func (n *Node) admissible(now time.Duration, p *peer) bool {
	if !p.replied || !n.isLive(now, p) || p.lastReply.DiskFailing || p.lastReply.Leaving || !p.lastReply.Matched {
		return false
	}
	if p.lastReply.LastIndex+maxAdmissionLag < n.commitIndex || p.steadySince == 0 {
		return false
	}
	window := n.admissionWindow(now, p)
	if now-p.steadySince < window {
		n.wakeBy(p.steadySince + window)
		return false
	}
	return true
}

// admissionWindow returns how long a member must have answered without interruption before it is admitted. A chain that
// cannot commit without another member does not wait longer for one that has failed repeatedly: its further failure
// would cost less than the wait.
func (n *Node) admissionWindow(now time.Duration, p *peer) time.Duration {
	window := n.timing.AdmissionWindow
	if p.flaps <= 1 || now-p.flappedAt >= flapWindow || n.countRemaining(now) < n.minChainLength() {
		return window
	}
	return max(window, min(window<<(p.flaps-1), n.timing.MaxAdmissionWindow))
}

// admissibleVoters returns the voters outside the chain that can be admitted to it.
func (n *Node) admissibleVoters(now time.Duration) []view.Member {
	var admissible []view.Member
	for _, voter := range n.view.Voters {
		p := n.findPeer(voter.Identity)
		if p != nil && n.view.ChainIndex(voter.Identity) < 0 && n.admissible(now, p) {
			admissible = append(admissible, voter)
		}
	}
	return admissible
}

// shouldAdmit reports whether a voter should be admitted to the chain, or a learner should get a vote.
func (n *Node) shouldAdmit(now time.Duration) bool {
	vacant := len(n.view.Chain) < view.TargetChainLength(len(n.view.Voters), n.config.FaultTolerance)
	if vacant && len(n.admissibleVoters(now)) > 0 {
		return true
	}
	if len(n.admissibleLearners(now)) == 0 {
		return false
	}
	voters := len(n.view.Voters)
	if voters < n.minChainLength() {
		return true // too few voters to have ever committed anything
	}
	if len(n.votersToReplace(now)) > 0 && n.liveCompleteMembers(now) >= n.minChainLength() {
		return true
	}
	minLengthWithNewVoter := view.MinChainLength(voters+1, n.config.FaultTolerance)
	return voters < n.targetVoterCount(now) && n.liveCompleteMembers(now) >= minLengthWithNewVoter
}

// targetVoterCount returns how many voters the next view should have. The number does not grow while a voter is not
// answering: a learner may have to take over its vote, and a vote that nobody uses would raise the majority
// permanently.
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

// liveCompleteMembers counts the live members of the chain whose logs are complete in this epoch.
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

// admissibleLearners returns the admissible members without a vote. Those in zones without a live voter come first.
func (n *Node) admissibleLearners(now time.Duration) []view.Member {
	var zones []string
	for _, voter := range n.view.Voters {
		p := n.findPeer(voter.Identity)
		if voter.Identity == n.self.Identity || p != nil && n.isLive(now, p) {
			zones = append(zones, n.resolve(voter).Zone)
		}
	}
	var newZones, otherZones []view.Member
	for _, p := range n.peers {
		switch {
		case n.view.IsVoter(p.member.Identity) || !n.admissible(now, p):
		case slices.Contains(zones, p.member.Zone):
			otherZones = append(otherZones, p.member)
		default:
			newZones = append(newZones, p.member)
		}
	}
	return append(newZones, otherZones...)
}

// votersToReplace returns the voters that have not answered for VoterReplaceTimeout, and those that do not answer
// while another identity answers at their address.
func (n *Node) votersToReplace(now time.Duration) []string {
	var identities []string
	for _, voter := range n.view.Voters {
		p := n.findPeer(voter.Identity)
		if p == nil || n.isLive(now, p) {
			continue
		}
		replaced := slices.ContainsFunc(n.peers, func(other *peer) bool {
			return other != p && other.member.Address == p.member.Address && other.replied && n.isLive(now, other)
		})
		if replaced || now-p.heardAt > n.timing.VoterReplaceTimeout {
			identities = append(identities, voter.Identity)
			continue
		}
		n.wakeBy(p.heardAt + n.timing.VoterReplaceTimeout + time.Millisecond)
	}
	return identities
}

// reconfiguration returns the changes to request for the next view. A voter that is not the head requests none,
// because it knows only which voters promise.
func (n *Node) reconfiguration(now time.Duration) view.Reconfiguration {
	change := view.Reconfiguration{
		FaultTolerance: n.config.FaultTolerance,
		TargetVoters:   len(n.view.Voters),
		Mutation:       n.config.Mutation,
	}
	if !n.isHead() {
		return change
	}
	change.TargetVoters = n.targetVoterCount(now)
	for _, member := range n.view.Chain {
		if n.shouldRemove(now, member.Identity) {
			change.RemoveFromChain = append(change.RemoveFromChain, member.Identity)
		}
	}
	for _, voter := range n.view.Voters {
		p := n.findPeer(voter.Identity)
		if n.view.ChainIndex(voter.Identity) < 0 && p != nil && !n.admissible(now, p) {
			change.RemoveFromChain = append(change.RemoveFromChain, voter.Identity)
		}
	}
	change.ReplaceVoters = n.votersToReplace(now)
	change.Learners = n.admissibleLearners(now)
	return change
}
