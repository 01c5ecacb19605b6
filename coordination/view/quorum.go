package view

// Invariants that the sizes below keep, for any number of voters and any tolerated number f of lost disks:
//
//   - two majorities of the voters have a voter in common;
//   - a chain that may commit has a member in every majority, so that the reports of any majority show what was
//     committed;
//   - a chain that may commit has at least f+1 members, so that f lost disks leave a replica.

// maxVoters bounds the voters of a large group, because every proposal asks all of them.
const maxVoters = 9

// Majority returns how many voters must agree to decide the next view.
func (v View) Majority() int { return len(v.Voters)/2 + 1 }

// MinChainLength returns the length of the shortest chain that may commit in the view.
func (v View) MinChainLength(faults int) int { return MinChainLength(len(v.Voters), faults) }

// MinChainLength returns the length of the shortest chain that may commit among that many voters, when that many
// disks may be lost.
func MinChainLength(voters, faults int) int {
	majority := voters/2 + 1
	meetsEveryMajority := voters - majority + 1
	return max(faults+1, meetsEveryMajority)
}

// TargetVoterCount returns how many voters a group of that many live members should have: an odd number, enough to
// tolerate the lost disks, and so many of the members that more than half of those hold a majority of the votes.
func TargetVoterCount(faults, members int) int {
	odd := members - 1 + members%2
	return max(2*faults+1, 3, min(odd, maxVoters))
}

// TargetChainLength returns how long the chain should be among that many voters: one member can fail before another
// one must be admitted.
func TargetChainLength(voters, faults int) int {
	return max(2*faults+1, MinChainLength(voters, faults)+1)
}
