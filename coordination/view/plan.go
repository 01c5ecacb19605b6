package view

import (
	"slices"

	"raventrestle/coordination/internal/mutation"
)

// Invariants of a planned view, whatever the reconfiguration asks for:
//
//   - its head is one of the reports with the newest CompleteEpoch, so its log has everything that was committed;
//   - each member of the chain is a voter and is in the chain once;
//   - if the voters change, at least MinChainLength of the new voters have everything that was committed, so that any
//     majority of them includes one, also after the tolerated number of lost disks. A group with too few voters to
//     have ever committed is exempt, but may only grow.

// Reconfiguration is what a proposer asks of the next view. Plan grants what is safe.
type Reconfiguration struct {
	FaultTolerance  int      // number of disks that may be lost at once
	TargetVoters    int      // number of voters to work towards; the present ones stay in any case
	RemoveFromChain []string // identities that should leave the chain
	ReplaceVoters   []string // identities of voters whose votes should go to learners
	Learners        []Member // live members without a vote whose logs are close to the head's, most preferred first
	Mutation        mutation.Set
}

// Plan computes the next view from the reports of a majority of the voters. See the package comment for why the
// chosen head has everything that was ever committed.
func Plan(current View, reports []Report, change Reconfiguration) View {
	complete := completeReports(reports)
	next := View{Epoch: current.Epoch + 1}
	next.Voters = planVoters(current, reports, complete, change)
	head := planHead(current, complete, change)
	next.Chain = planChain(current, next.Voters, reports, head, change)
	return next
}

// completeReports returns the reports of the newest CompleteEpoch: their members have everything that was committed.
func completeReports(reports []Report) []Report {
	newest := uint64(0)
	for _, report := range reports {
		newest = max(newest, report.CompleteEpoch)
	}
	var complete []Report
	for _, report := range reports {
		if report.CompleteEpoch == newest {
			complete = append(complete, report)
		}
	}
	return complete
}

// planHead prefers members that stay, then the longest log, so that entries in flight are kept, then the order of the
// chain.
func planHead(current View, complete []Report, change Reconfiguration) Report {
	best := complete[0]
	for _, report := range complete[1:] {
		if preferredAsHead(current, report, best, change) {
			best = report
		}
	}
	return best
}

// preferredAsHead reports whether a is a better head than b.
func preferredAsHead(current View, a, b Report, change Reconfiguration) bool {
	avoidA, avoidB := avoidAsHead(a, change), avoidAsHead(b, change)
	switch {
	case avoidA != avoidB:
		return avoidB
	case a.LastEpoch != b.LastEpoch:
		return a.LastEpoch > b.LastEpoch
	case a.LastIndex != b.LastIndex:
		return a.LastIndex > b.LastIndex
	}
	return rank(current, a.Member.Identity) < rank(current, b.Member.Identity)
}

func avoidAsHead(report Report, change Reconfiguration) bool {
	identity := report.Member.Identity
	return report.Leaving || slices.Contains(change.RemoveFromChain, identity)
}

// rank orders the voters: those of the chain by their position, then the others.
func rank(v View, identity string) int {
	if index := v.ChainIndex(identity); index >= 0 {
		return index
	}
	return len(v.Chain) + indexOf(v.Voters, identity)
}

// planVoters gives the votes of the voters to replace, and then further votes, to learners, one at a time and as long
// as enough of the resulting voters have everything that was committed. A voter that has promised keeps its vote.
func planVoters(current View, reports, complete []Report, change Reconfiguration) []Member {
	voters := current.Voters
	learners := slices.Clone(change.Learners)
	adoptIfSafe := func(changed []Member) {
		if safeVoters(current, changed, complete, change.FaultTolerance) || change.Mutation.UncheckedVoters {
			voters, learners = changed, learners[1:]
		}
	}
	for i, voter := range current.Voters {
		promised := slices.ContainsFunc(reports, func(r Report) bool { return r.Member.Identity == voter.Identity })
		if promised || !slices.Contains(change.ReplaceVoters, voter.Identity) || len(learners) == 0 {
			continue
		}
		changed := slices.Clone(voters)
		changed[i] = learners[0]
		adoptIfSafe(changed)
	}
	for range len(learners) {
		if len(voters) < change.TargetVoters {
			adoptIfSafe(append(slices.Clone(voters), learners[0]))
		}
	}
	return voters
}

// safeVoters reports whether every majority of the changed voters will include a member that has everything that was
// committed, also after that many lost disks.
func safeVoters(current View, changed []Member, complete []Report, faults int) bool {
	retained := 0
	for _, report := range complete {
		if indexOf(changed, report.Member.Identity) >= 0 {
			retained++
		}
	}
	if retained >= MinChainLength(len(changed), faults) {
		return true
	}
	if len(current.Voters) >= current.MinChainLength(faults) {
		return false
	}
	// The current voters are too few to have ever committed anything. They may only grow in number.
	for _, voter := range current.Voters {
		if indexOf(changed, voter.Identity) < 0 {
			return false
		}
	}
	return true
}

// planChain puts the head first, then the members that stay in the order of the current chain, then learners that
// have become voters, up to the target length. Members that should leave stay as long as the chain would be too short
// to commit without them.
func planChain(current View, voters []Member, reports []Report, head Report, change Reconfiguration) []Member {
	chain := []Member{head.Member}
	target := TargetChainLength(len(voters), change.FaultTolerance)
	add := func(member Member) {
		if len(chain) < target && indexOf(chain, member.Identity) < 0 && indexOf(voters, member.Identity) >= 0 {
			chain = append(chain, member)
		}
	}
	byRank := slices.Clone(reports)
	slices.SortStableFunc(byRank, func(a, b Report) int {
		return rank(current, a.Member.Identity) - rank(current, b.Member.Identity)
	})
	for _, report := range byRank {
		if !report.Leaving && !slices.Contains(change.RemoveFromChain, report.Member.Identity) {
			add(report.Member)
		}
	}
	for _, learner := range change.Learners {
		add(learner)
	}
	minLength := MinChainLength(len(voters), change.FaultTolerance)
	for _, leaving := range []bool{false, true} { // members that leave of their own accord are retained last
		for _, report := range byRank {
			if len(chain) < minLength && report.Leaving == leaving {
				add(report.Member)
			}
		}
	}
	return chain
}
