// Package view decides who replicates the state. A view is one agreed membership: the chain, in order from
// head to tail, and the voters, who decide the view that comes next. Each epoch is decided by single-decree
// Paxos among the voters of the view before it.
//
// The package holds pure values and state machines: no clock, disk, network, goroutine or lock.
package view

// Member is one participant. Its identity is made at the first start on an empty disk and dies with the disk.
type Member struct {
	Identity string `cbor:"1,keyasint"`
	Address  string `cbor:"2,keyasint"` // of its transport, host:port
	Zone     string `cbor:"3,keyasint"`
	Tag      string `cbor:"4,keyasint"` // opaque to the library: the embedder's own address or label
}

// View is one agreed membership. Chain is in order from head to tail.
type View struct {
	Epoch  uint64   `cbor:"1,keyasint"`
	Chain  []Member `cbor:"2,keyasint"`
	Voters []Member `cbor:"3,keyasint"`
}

// ProposalNumber numbers one attempt to decide a view. Later rounds win; the identity breaks ties.
type ProposalNumber struct {
	Round    uint64 `cbor:"1,keyasint"`
	Proposer string `cbor:"2,keyasint"`
}

// Before tells whether the ballot is lower than the other one.
func (b ProposalNumber) Before(other ProposalNumber) bool {
	if b.Round != other.Round {
		return b.Round < other.Round
	}
	return b.Proposer < other.Proposer
}

// IsZero tells whether no ballot was made yet.
func (b ProposalNumber) IsZero() bool { return b.Round == 0 }

// Head returns the member at which commands enter; the zero Member when there is no view yet.
func (v View) Head() Member {
	if len(v.Chain) == 0 {
		return Member{}
	}
	return v.Chain[0]
}

// Tail returns the member that commits; the zero Member when there is no view yet.
func (v View) Tail() Member {
	if len(v.Chain) == 0 {
		return Member{}
	}
	return v.Chain[len(v.Chain)-1]
}

// ChainIndex returns the position of the identity in the chain, or -1.
func (v View) ChainIndex(identity string) int { return place(v.Chain, identity) }

// IsVoter tells whether the identity is a voter of the view.
func (v View) IsVoter(identity string) bool { return place(v.Voters, identity) >= 0 }

// Majority is the number of voters that decides the next view.
func (v View) Majority() int { return len(v.Voters)/2 + 1 }

// MinChainLength is the shortest chain that may commit: every majority of the voters then meets it, and the
// loss of as many disks as must be borne leaves a copy.
func (v View) MinChainLength(faults int) int { return MinChainLength(len(v.Voters), faults) }

// MinChainLength is the shortest chain that may commit among that many voters.
func MinChainLength(voters, faults int) int {
	meetsMajority := voters - (voters/2 + 1) + 1
	return max(faults+1, meetsMajority)
}

// maximumVoters bounds the voters of a large group: every attempt asks all of them.
const maximumVoters = 9

// TargetVoterCount is how many voters a group of that many live members works towards: an odd number, enough to bear
// the lost disks, and so many of the members that more than half of those hold a majority of the votes.
func TargetVoterCount(faults, members int) int {
	odd := members - 1 + members%2
	return max(2*faults+1, 3, min(odd, maximumVoters))
}

// TargetChainLength is how long a chain among that many voters should be: one member can go before another must come in.
func TargetChainLength(voters, faults int) int {
	return max(2*faults+1, MinChainLength(voters, faults)+1)
}

func place(members []Member, identity string) int {
	for i, member := range members {
		if member.Identity == identity {
			return i
		}
	}
	return -1
}
