package view

// Report is what a voter tells with its promise. A voter that has promised a later epoch takes no more
// entries in the earlier one, so the report stays true until the later epoch has begun.
type Report struct {
	Member        Member `cbor:"1,keyasint"`
	CompleteEpoch uint64 `cbor:"2,keyasint"` // newest epoch in whose chain its log was made whole
	LastIndex     uint64 `cbor:"3,keyasint"` // index of its newest entry
	LastEpoch     uint64 `cbor:"4,keyasint"` // epoch of its newest entry
	Leaving       bool   `cbor:"5,keyasint,omitempty"`
}

// Promise is a voter's answer to the first phase.
type Promise struct {
	Number   ProposalNumber `cbor:"1,keyasint"`
	Granted  bool           `cbor:"2,keyasint"`
	Promised ProposalNumber `cbor:"3,keyasint,omitempty"` // the ballot that stood in the way
	Accepted ProposalNumber `cbor:"4,keyasint,omitempty"`
	Value    View           `cbor:"5,keyasint,omitempty"`
	Report   Report         `cbor:"6,keyasint"`
}

// Proposer drives one ballot. It is volatile: a lost proposer is replaced by a higher ballot.
type Proposer struct {
	Current View // the view whose voters decide
	Number  ProposalNumber
	Value   View // set once the second phase has begun

	promises []Promise
	accepted []string
}

// AddPromise takes in a promise of this ballot.
func (p *Proposer) AddPromise(promise Promise) {
	if !promise.Granted || promise.Number != p.Number || !p.Current.IsVoter(promise.Report.Member.Identity) {
		return
	}
	for _, known := range p.promises {
		if known.Report.Member.Identity == promise.Report.Member.Identity {
			return
		}
	}
	p.promises = append(p.promises, promise)
}

// PromiseCount is the number of voters that have promised.
func (p *Proposer) PromiseCount() int { return len(p.promises) }

// Prepared tells whether a majority has promised.
func (p *Proposer) Prepared() bool { return len(p.promises) >= p.Current.Majority() }

// Reports returns what the voters told, in the order in which they promised.
func (p *Proposer) Reports() []Report {
	reports := make([]Report, 0, len(p.promises))
	for _, promise := range p.promises {
		reports = append(reports, promise.Report)
	}
	return reports
}

// HasPromiseFrom tells whether that voter has promised.
func (p *Proposer) HasPromiseFrom(identity string) bool {
	for _, promise := range p.promises {
		if promise.Report.Member.Identity == identity {
			return true
		}
	}
	return false
}

// RequiredValue returns the value that an earlier ballot may already have decided; such a value must be proposed.
func (p *Proposer) RequiredValue() (View, bool) {
	var best Promise
	for _, promise := range p.promises {
		if !promise.Accepted.IsZero() && best.Accepted.Before(promise.Accepted) {
			best = promise
		}
	}
	return best.Value, !best.Accepted.IsZero()
}

// AddAcceptance takes in a voter's acceptance and tells whether the value is now decided.
func (p *Proposer) AddAcceptance(identity string) bool {
	if !p.Current.IsVoter(identity) {
		return false
	}
	for _, known := range p.accepted {
		if known == identity {
			return len(p.accepted) >= p.Current.Majority()
		}
	}
	p.accepted = append(p.accepted, identity)
	return len(p.accepted) >= p.Current.Majority()
}
