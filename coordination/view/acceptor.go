package view

import "raventrestle/coordination/internal/mutation"

// Acceptor is the durable part of one voter in the decision of one epoch. Its owner persists it before any
// answer leaves.
type Acceptor struct {
	Epoch    uint64         `cbor:"1,keyasint"` // the epoch that is being decided
	Promised ProposalNumber `cbor:"2,keyasint"`
	Accepted ProposalNumber `cbor:"3,keyasint"`
	Value    View           `cbor:"4,keyasint"` // accepted in ballot Accepted
}

// Prepare takes in the first phase of a ballot. It tells whether the promise is given; then the acceptor
// has changed and must be persisted.
func (a *Acceptor) Prepare(epoch uint64, ballot ProposalNumber) bool {
	if a.Epoch != epoch {
		*a = Acceptor{Epoch: epoch}
	}
	if ballot.Before(a.Promised) {
		return false
	}
	a.Promised = ballot
	return true
}

// Accept takes in the second phase. It tells whether the value is accepted, as Prepare does.
func (a *Acceptor) Accept(ballot ProposalNumber, value View, planted mutation.Set) bool {
	if a.Epoch != value.Epoch {
		*a = Acceptor{Epoch: value.Epoch}
	}
	if ballot.Before(a.Promised) && !planted.AcceptAnyProposal {
		return false
	}
	a.Promised, a.Accepted, a.Value = ballot, ballot, value
	return true
}
