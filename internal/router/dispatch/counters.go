package dispatch

// Counters tell what the decider did since the start, for status pages and for people who ask why.
type Counters struct {
	Arrived   uint64 // requests
	Sent      uint64 // calls
	SentLate  uint64 // of those, expected to be late
	SentAgain uint64 // of those, beyond a request's first
	Abandoned uint64 // calls to endpoints that went dark
	Moved     uint64 // held requests that went to another endpoint's flow
	Refused   [Leaving + 1]uint64
	Tripped   uint64 // endpoints that were left for their failures
}

// Counters returns them.
func (d *Decider) Counters() Counters { return d.counters }

// String names the reason for people.
func (r Reason) String() string {
	switch r {
	case OverQuota:
		return "over quota"
	case NoTime:
		return "no time"
	case NoEndpoint:
		return "no endpoint"
	case BudgetSpent:
		return "retry budget spent"
	case Leaving:
		return "leaving"
	case Exhausted:
		return "exhausted"
	}
	return "unknown"
}
