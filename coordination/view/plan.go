package view

import (
	"slices"

	"raventrestle/coordination/internal/mutation"
)

// Invariants of a planned view, whatever reconfiguration is requested:
//
//   - its head comes from one of the reports with the newest CompleteEpoch, so the head's log has everything that was
//     committed;
//   - each member of the chain is a voter and is in the chain once;
//   - if the voters change, at least MinChainLength of the new voters have everything that was committed, so that any
//     majority of the new voters includes one of them, even after the tolerated number of lost disks. A group with too
//     few voters to have ever committed anything is exempt, but may only add voters.

// Reconfiguration holds the changes that a proposer requests for the next view. Plan makes those that are safe.
type Reconfiguration struct {
	FaultTolerance  int      // number of disks that may be lost at once
	TargetVoters    int      // desired number of voters; a lower one removes none
	RemoveFromChain []string // identities that should leave the chain
	ReplaceVoters   []string // identities of voters whose votes should go to learners
	Learners        []Member // live members without a vote that nearly have the head's log, most preferred first
	Mutation        mutation.Set
}

// Plan computes the next view from the reports of a majority of the voters. The package comment explains why the
// chosen head has everything that was ever committed.
func Plan(current View, reports []Report, change Reconfiguration) View {
	complete := completeReports(reports)
	next := View{Epoch: current.Epoch + 1}
	next.Voters = planVoters(current, reports, complete, change)
	head := planHead(current, complete, change)
	next.Chain = planChain(current, next.Voters, reports, head, change)
	return next
}

// completeReports returns the reports with the newest CompleteEpoch. Their members have everything that was committed.
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

// planHead chooses the head. It prefers members that stay, then the longest log, so that entries in flight are kept,
// and then the order of the chain.
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

// rank returns the position of a voter in the order of preference: members of the chain in the order of the chain,
// then the other voters.
func rank(v View, identity string) int {
	if index := v.ChainIndex(identity); index >= 0 {
		return index
	}
	return len(v.Chain) + indexOf(v.Voters, identity)
}

// planVoters gives learners the votes of the voters to replace, and then additional votes up to the target. It makes
// one change at a time, and only if enough of the resulting voters have everything that was committed. A voter that
// has promised keeps its vote.
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

// safeVoters reports whether every majority of the changed voters includes a member that has everything that was
// committed, even after the given number of disks is lost.
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

// planChain returns the next chain, up to the target length: first the head, then the members that stay, in the order
// of the current chain, then learners that have become voters. Members that should leave are kept only if the chain
// would otherwise be too short to commit.
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
	for _, leaving := range []bool{false, true} { // members that have asked to leave are the last to be kept
		for _, report := range byRank {
			if len(chain) < minLength && report.Leaving == leaving {
				add(report.Member)
			}
		}
	}
	return chain
}
