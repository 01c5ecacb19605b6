package dispatch

// Counters tell what the decider did since the start, for status pages and for people who ask why.
type Counters struct {
	Arrived        uint64 // requests
	Sent           uint64 // calls
	SentPastTarget uint64 // of those, expected to be late
	Retries        uint64 // of those, beyond a request's first
	Abandoned      uint64 // calls to endpoints that went dark
	Requeued       uint64 // held requests that went to another endpoint's flow
	Rejected       [ShuttingDown + 1]uint64
	Ejected        uint64 // endpoints that were left for their failures
}

// Counters returns them.
func (d *Decider) Counters() Counters { return d.counters }

// String names the reason for people.
func (r Reason) String() string {
	switch r {
	case QuotaExceeded:
		return "over quota"
	case TargetUnreachable:
		return "no time"
	case NoEndpoint:
		return "no endpoint"
	case RetryBudgetExhausted:
		return "retry budget spent"
	case ShuttingDown:
		return "leaving"
	case AttemptsExhausted:
		return "exhausted"
	}
	return "unknown"
}
