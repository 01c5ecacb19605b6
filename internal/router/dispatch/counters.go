package dispatch

// Counters count events since the decider's start, for status pages and for diagnosis.
type Counters struct {
	Arrived        uint64 // requests
	Sent           uint64 // attempts
	SentPastTarget uint64 // attempts expected to miss their request's latency target
	Retries        uint64 // attempts beyond a request's first
	Abandoned      uint64 // attempts at endpoints that became unresponsive
	Requeued       uint64 // queued requests that moved to another endpoint's queue
	Rejected       [ShuttingDown + 1]uint64
	Ejected        uint64 // ejections of endpoints for failures
}

// Counters returns the counters since the start.
func (d *Decider) Counters() Counters { return d.counters }
