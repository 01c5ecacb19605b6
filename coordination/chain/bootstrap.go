package chain

import (
	"slices"

	"raventrestle/coordination/view"
)

// Invariant: an identity is used by one disk only. A member that has lost its disk returns under another identity, so
// that the former identity's vote and entries never count for it. The founders' identities are derived from their
// addresses, which is safe because a group is founded once, on empty disks.

// founderPrefix begins the identity of each founder. All founders compute the same first view from their seeds.
const founderPrefix = "founder@"

// Bootstrap returns the state of a founder: the seeds are the members of the first view. It returns false when the
// member's address is not among the seeds. Only the very first start of a group may bootstrap, on an empty disk.
func Bootstrap(self view.Member, seeds []string) (State, bool) {
	if !slices.Contains(seeds, self.Address) {
		return State{}, false
	}
	addresses := slices.Clone(seeds)
	slices.Sort(addresses)
	addresses = slices.Compact(addresses)
	first := view.View{Epoch: 1}
	for _, address := range addresses {
		first.Voters = append(first.Voters, view.Member{Identity: founderPrefix + address, Address: address})
	}
	first.Chain = first.Voters
	self.Identity = founderPrefix + self.Address
	state := State{Self: self, View: first}
	if first.Head().Identity == self.Identity {
		state.CompleteEpoch = first.Epoch
	}
	return state, true
}

// JoinAsLearner returns the state of a learner that searches for an existing group to join. The identity must never
// have been used before.
func JoinAsLearner(self view.Member, identity string) State {
	self.Identity = identity
	return State{Self: self}
}
