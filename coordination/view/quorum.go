package view

// Invariants that the sizes below ensure, for any number of voters and any tolerated number f of lost disks:
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

// MinChainLength returns the length of the shortest chain that may commit, for the given numbers of voters and of
// disks that may be lost.
func MinChainLength(voters, faults int) int {
	majority := voters/2 + 1
	minForMajorityOverlap := voters - majority + 1
	return max(faults+1, minForMajorityOverlap)
}

// TargetVoterCount returns how many voters a group should have, for the given numbers of disks that may be lost and of
// live members. It is the largest odd number of members up to maxVoters, so that any majority of a group of at most
// maxVoters members includes a majority of its voters. It is at least 3 and at least 2*faults+1.
func TargetVoterCount(faults, members int) int {
	largestOdd := members - 1 + members%2
	return max(2*faults+1, 3, min(largestOdd, maxVoters))
}

// TargetChainLength returns how long the chain should be, for the given numbers of voters and of disks that may be
// lost. It is more than the minimum, so that one member can fail before another one must be admitted.
func TargetChainLength(voters, faults int) int {
	return max(2*faults+1, MinChainLength(voters, faults)+1)
}
