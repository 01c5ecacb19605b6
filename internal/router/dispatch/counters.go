package dispatch

// Counters counts events since the decider was created, for status pages and diagnosis.
type Counters struct {
	Arrived        uint64                   // requests
	Sent           uint64                   // attempts
	SentPastTarget uint64                   // attempts expected to miss the latency target of their request
	Retries        uint64                   // attempts after the first of a request
	Abandoned      uint64                   // attempts moved away from endpoints that became unresponsive, or whose stream stalled
	Requeued       uint64                   // queued requests moved to the queue of another endpoint
	Rejected       [ShuttingDown + 1]uint64 // requests, by Reason
	Ejected        uint64                   // ejections of endpoints because of failures
}

// Counters returns the counters since the decider was created.
func (d *Decider) Counters() Counters { return d.counters }
