package view

// Report is what a voter states about its log in a promise. A voter that has promised a proposal for a later epoch
// accepts no more entries in the earlier one, so the report stays true until the later epoch has begun.
type Report struct {
	Member        Member `cbor:"1,keyasint"`
	CompleteEpoch uint64 `cbor:"2,keyasint"` // newest epoch in whose chain its log was complete
	LastIndex     uint64 `cbor:"3,keyasint"` // index of its newest entry
	LastEpoch     uint64 `cbor:"4,keyasint"` // epoch of its newest entry
	Leaving       bool   `cbor:"5,keyasint,omitempty"`
}

// Promise is a voter's answer to the first phase of a proposal.
type Promise struct {
	Number   ProposalNumber `cbor:"1,keyasint"`           // of the proposal that it answers
	Granted  bool           `cbor:"2,keyasint"`           // the voter accepts no proposal below Number any more
	Promised ProposalNumber `cbor:"3,keyasint,omitempty"` // the higher number that prevented the promise
	Accepted ProposalNumber `cbor:"4,keyasint,omitempty"` // newest proposal that the voter has accepted
	Value    View           `cbor:"5,keyasint,omitempty"` // value of the accepted proposal
	Report   Report         `cbor:"6,keyasint"`
}

// Proposer drives one proposal: the proposer of Paxos. It is volatile: if it is lost, a proposal with a higher number
// replaces it.
//
// Invariants: only voters of Current are counted, each of them once. The owner sets Value only after a majority has
// promised. If one of these promises reports an accepted proposal, the owner sets Value to RequiredValue, because that
// value may already be decided.
type Proposer struct {
	Current View           // the view whose voters decide
	Number  ProposalNumber // of this proposal
	Value   View           // set once the second phase has begun

	promises  []Promise
	acceptors []string // identities of the voters that have accepted Value
}

// AddPromise records a promise for this proposal. Promises for other proposals, repeated ones and those of members
// that are no voters are ignored.
func (p *Proposer) AddPromise(promise Promise) {
	voter := promise.Report.Member.Identity
	if !promise.Granted || promise.Number != p.Number || !p.Current.IsVoter(voter) || p.HasPromiseFrom(voter) {
		return
	}
	p.promises = append(p.promises, promise)
}

// PromiseCount returns how many voters have promised.
func (p *Proposer) PromiseCount() int { return len(p.promises) }

// Prepared reports whether a majority of the voters has promised, so that the second phase may begin.
func (p *Proposer) Prepared() bool { return len(p.promises) >= p.Current.Majority() }

// Reports returns the reports of the voters that have promised, in the order in which the promises arrived.
func (p *Proposer) Reports() []Report {
	reports := make([]Report, 0, len(p.promises))
	for _, promise := range p.promises {
		reports = append(reports, promise.Report)
	}
	return reports
}

// HasPromiseFrom reports whether the voter of that identity has promised.
func (p *Proposer) HasPromiseFrom(identity string) bool {
	for _, promise := range p.promises {
		if promise.Report.Member.Identity == identity {
			return true
		}
	}
	return false
}

// RequiredValue returns the value of the highest accepted proposal among the promises. It may already be decided, so
// the proposer must propose it. It returns false when the proposer is free to choose.
func (p *Proposer) RequiredValue() (View, bool) {
	var highest Promise
	for _, promise := range p.promises {
		if !promise.Accepted.IsZero() && highest.Accepted.Before(promise.Accepted) {
			highest = promise
		}
	}
	return highest.Value, !highest.Accepted.IsZero()
}

// AddAcceptance records that the voter has accepted Value and reports whether Value is now decided.
func (p *Proposer) AddAcceptance(identity string) bool {
	if !p.Current.IsVoter(identity) {
		return false
	}
	for _, acceptor := range p.acceptors {
		if acceptor == identity {
			return len(p.acceptors) >= p.Current.Majority()
		}
	}
	p.acceptors = append(p.acceptors, identity)
	return len(p.acceptors) >= p.Current.Majority()
}
