package view

// Report is what a voter tells with its promise. A voter that has promised a later epoch takes no more
// entries in the earlier one, so the report stays true until the later epoch has begun.
type Report struct {
	Member    Member `cbor:"1,keyasint"`
	Active    uint64 `cbor:"2,keyasint"` // newest epoch in whose chain its log was made whole
	Last      uint64 `cbor:"3,keyasint"` // index of its newest entry
	LastEpoch uint64 `cbor:"4,keyasint"` // epoch of its newest entry
	Leaving   bool   `cbor:"5,keyasint,omitempty"`
}

// Promise is a voter's answer to the first phase.
type Promise struct {
	Ballot   Ballot `cbor:"1,keyasint"`
	Given    bool   `cbor:"2,keyasint"`
	Promised Ballot `cbor:"3,keyasint,omitempty"` // the ballot that stood in the way
	Accepted Ballot `cbor:"4,keyasint,omitempty"`
	Value    View   `cbor:"5,keyasint,omitempty"`
	Report   Report `cbor:"6,keyasint"`
}

// Proposer drives one ballot. It is volatile: a lost proposer is replaced by a higher ballot.
type Proposer struct {
	Current View // the view whose voters decide
	Ballot  Ballot
	Value   View // set once the second phase has begun

	promises []Promise
	accepted []string
}

// Promised takes in a promise of this ballot.
func (p *Proposer) Promised(promise Promise) {
	if !promise.Given || promise.Ballot != p.Ballot || !p.Current.Votes(promise.Report.Member.Identity) {
		return
	}
	for _, known := range p.promises {
		if known.Report.Member.Identity == promise.Report.Member.Identity {
			return
		}
	}
	p.promises = append(p.promises, promise)
}

// Promises is the number of voters that have promised.
func (p *Proposer) Promises() int { return len(p.promises) }

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

// HasPromise tells whether that voter has promised.
func (p *Proposer) HasPromise(identity string) bool {
	for _, promise := range p.promises {
		if promise.Report.Member.Identity == identity {
			return true
		}
	}
	return false
}

// Bound returns the value that an earlier ballot may already have decided; such a value must be proposed.
func (p *Proposer) Bound() (View, bool) {
	var best Promise
	for _, promise := range p.promises {
		if !promise.Accepted.Zero() && best.Accepted.Before(promise.Accepted) {
			best = promise
		}
	}
	return best.Value, !best.Accepted.Zero()
}

// Accepted takes in a voter's acceptance and tells whether the value is now decided.
func (p *Proposer) Accepted(identity string) bool {
	if !p.Current.Votes(identity) {
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
