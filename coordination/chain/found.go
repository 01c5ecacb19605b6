package chain

import (
	"slices"

	"raventrestle/coordination/view"
)

// founderPrefix makes the identity of a founder, so that all founders compute the same first view.
const founderPrefix = "founder@"

// Bootstrap returns the state of a founder: the seeds are the first view. It tells false when the address is not
// among the seeds. Only the very first start of a whole group may found, on an empty disk.
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

// JoinAsLearner returns the state of a member that asks to be taken in. The identity must be new.
func JoinAsLearner(self view.Member, identity string) State {
	self.Identity = identity
	return State{Self: self}
}
