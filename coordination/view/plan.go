package view

import (
	"slices"

	"raventrestle/coordination/internal/mutation"
)

// Reconfiguration is what a proposer would like the next view to be. Plan grants of it what is safe.
type Reconfiguration struct {
	FaultTolerance  int
	TargetVoters    int      // voters to work towards; the present ones stay in any case
	RemoveFromChain []string // identities that should leave the chain
	ReplaceVoters   []string // voters that should give up their vote to a standby
	Learners        []Member // live members outside the voters whose logs are near the head's, best first
	AvoidAsHead     []string // identities that should not be the head where another can
	Mutation        mutation.Set
}

// Plan makes the next view out of the reports of a majority of the voters. The head is one of those whose log
// was made whole in the newest epoch among the reports: everything that was ever committed is in its log,
// because each chain that committed meets every majority of the voters.
func Plan(current View, reports []Report, wish Reconfiguration) View {
	holders := holdersOf(reports)
	next := View{Epoch: current.Epoch + 1}
	next.Voters = planVoters(current, reports, holders, wish)
	head := planHead(current, holders, wish)
	next.Chain = planChain(current, next.Voters, reports, head, wish)
	return next
}

// holdersOf returns the reports of those that hold all that was committed.
func holdersOf(reports []Report) []Report {
	newest := uint64(0)
	for _, report := range reports {
		newest = max(newest, report.CompleteEpoch)
	}
	var holders []Report
	for _, report := range reports {
		if report.CompleteEpoch == newest {
			holders = append(holders, report)
		}
	}
	return holders
}

// planHead prefers members that stay, then the longest log (so that what is under way is kept), then the
// order of the chain.
func planHead(current View, holders []Report, wish Reconfiguration) Report {
	best := holders[0]
	for _, report := range holders[1:] {
		if betterHead(current, report, best, wish) {
			best = report
		}
	}
	return best
}

func betterHead(current View, a, b Report, wish Reconfiguration) bool {
	aAvoided, bAvoided := avoided(a, wish), avoided(b, wish)
	switch {
	case aAvoided != bAvoided:
		return bAvoided
	case a.LastEpoch != b.LastEpoch:
		return a.LastEpoch > b.LastEpoch
	case a.LastIndex != b.LastIndex:
		return a.LastIndex > b.LastIndex
	}
	return rank(current, a.Member.Identity) < rank(current, b.Member.Identity)
}

func avoided(report Report, wish Reconfiguration) bool {
	identity := report.Member.Identity
	return report.Leaving || slices.Contains(wish.AvoidAsHead, identity) || slices.Contains(wish.RemoveFromChain, identity)
}

// rank is the place in the chain, then in the voters.
func rank(v View, identity string) int {
	if at := v.ChainIndex(identity); at >= 0 {
		return at
	}
	return len(v.Chain) + place(v.Voters, identity)
}

// planVoters gives the places of the gone to standbys, and free places to standbys, one after the other as long as
// enough voters hold all that was committed: a majority of the new voters must meet the holders, also after the
// loss of as many disks as must be borne.
func planVoters(current View, reports, holders []Report, wish Reconfiguration) []Member {
	voters := current.Voters
	standbys := slices.Clone(wish.Learners)
	try := func(changed []Member) {
		if enoughHolders(current, changed, holders, wish.FaultTolerance) || wish.Mutation.UncheckedVoters {
			voters, standbys = changed, standbys[1:]
		}
	}
	for i, voter := range current.Voters {
		promised := slices.ContainsFunc(reports, func(r Report) bool { return r.Member.Identity == voter.Identity })
		if promised || !slices.Contains(wish.ReplaceVoters, voter.Identity) || len(standbys) == 0 {
			continue
		}
		changed := slices.Clone(voters)
		changed[i] = standbys[0]
		try(changed)
	}
	for range len(standbys) {
		if len(voters) < wish.TargetVoters {
			try(append(slices.Clone(voters), standbys[0]))
		}
	}
	return voters
}

func enoughHolders(current View, voters []Member, holders []Report, faults int) bool {
	kept := 0
	for _, holder := range holders {
		if place(voters, holder.Member.Identity) >= 0 {
			kept++
		}
	}
	if kept >= MinChainLength(len(voters), faults) {
		return true
	}
	if len(current.Voters) >= current.MinChainLength(faults) {
		return false
	}
	// So few voters have never committed anything. They may only grow.
	for _, voter := range current.Voters {
		if place(voters, voter.Identity) < 0 {
			return false
		}
	}
	return true
}

// planChain puts the head first, then the former chain in its order, then other voters up to the target.
func planChain(current View, voters []Member, reports []Report, head Report, wish Reconfiguration) []Member {
	chain := []Member{head.Member}
	target := TargetChainLength(len(voters), wish.FaultTolerance)
	add := func(member Member) {
		if len(chain) < target && place(chain, member.Identity) < 0 && place(voters, member.Identity) >= 0 {
			chain = append(chain, member)
		}
	}
	inOrder := slices.Clone(reports)
	slices.SortStableFunc(inOrder, func(a, b Report) int {
		return rank(current, a.Member.Identity) - rank(current, b.Member.Identity)
	})
	for _, report := range inOrder {
		if !report.Leaving && !slices.Contains(wish.RemoveFromChain, report.Member.Identity) {
			add(report.Member)
		}
	}
	for _, standby := range wish.Learners {
		add(standby)
	}
	minimum := MinChainLength(len(voters), wish.FaultTolerance)
	for _, leaving := range []bool{false, true} { // those that should go stay while they are needed
		for _, report := range inOrder {
			if len(chain) < minimum && report.Leaving == leaving {
				add(report.Member)
			}
		}
	}
	return chain
}
