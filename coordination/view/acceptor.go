package view

import "raventrestle/coordination/internal/mutation"

// ProposalNumber orders the proposals of one epoch. The higher round wins; the proposer's identity breaks ties, so
// that two proposers never use the same number.
type ProposalNumber struct {
	Round    uint64 `cbor:"1,keyasint"` // 0: no proposal
	Proposer string `cbor:"2,keyasint"` // identity of the proposing voter
}

// Before reports whether the number is lower than the other one.
func (n ProposalNumber) Before(other ProposalNumber) bool {
	if n.Round != other.Round {
		return n.Round < other.Round
	}
	return n.Proposer < other.Proposer
}

// IsZero reports whether the number stands for no proposal.
func (n ProposalNumber) IsZero() bool { return n.Round == 0 }

// Acceptor is the durable state of one voter in the decision of one epoch: the acceptor of Paxos.
//
// Invariants: Promised never decreases within an epoch, and Accepted is never higher than Promised. They hold across
// restarts only if the owner writes the changed state to disk before it sends an answer.
type Acceptor struct {
	Epoch    uint64         `cbor:"1,keyasint"` // the epoch that is being decided
	Promised ProposalNumber `cbor:"2,keyasint"` // no lower proposal is accepted any more
	Accepted ProposalNumber `cbor:"3,keyasint"` // newest accepted proposal, zero when there is none
	Value    View           `cbor:"4,keyasint"` // value of the accepted proposal
}

// Prepare handles the first phase of a proposal and reports whether the acceptor promises it. If so, the acceptor has
// changed and must be persisted before the promise is sent.
func (a *Acceptor) Prepare(epoch uint64, number ProposalNumber) bool {
	if a.Epoch != epoch {
		*a = Acceptor{Epoch: epoch}
	}
	if number.Before(a.Promised) {
		return false
	}
	a.Promised = number
	return true
}

// Accept handles the second phase of a proposal and reports whether the acceptor accepts the value. If so, the
// acceptor has changed and must be persisted before the acceptance is sent.
func (a *Acceptor) Accept(number ProposalNumber, value View, mutants mutation.Set) bool {
	if a.Epoch != value.Epoch {
		*a = Acceptor{Epoch: value.Epoch}
	}
	if number.Before(a.Promised) && !mutants.AcceptAnyProposal {
		return false
	}
	a.Promised, a.Accepted, a.Value = number, number, value
	return true
}
