// Package polling decides when to request the endpoint list from discovery, whether by a poll or by a watch, which is a
// call that waits for changes (a long poll), and when a call without an answer has timed out. It does no I/O, and its
// random numbers are arguments.
//
// The platform assumes that the courier has received an update [InformedAfterTimeout] after the start of a call that got
// no answer, or [InformedAfterWait] after the end of a watch's wait. Each invariant is checked by the test of that name:
//   - TestTimedOutCallIsRepeatedInTime: a call that times out is followed immediately, without a backoff, by another one
//     whose answer can arrive before the platform makes that assumption.
//   - TestPushedListIsRequestedFromTheStart: if lists are pushed, a call is always in flight or due within a bounded
//     backoff, from the start of the process.
package polling

import "time"

// After these times the platform assumes that the courier knows an update, whether it arrived or not. For a watch, the
// later of the two applies.
const (
	InformedAfterTimeout = 6 * time.Second // from the start of a call that got no answer
	InformedAfterWait    = 2 * time.Second // from the end of a watch's wait
)

const (
	watchWait = 10 * time.Second // how long a watch asks discovery to wait for changes
	// watchGrace is the time for the answer after the wait. It is shorter than InformedAfterWait, so that one more call
	// has time for its answer.
	watchGrace = 1500 * time.Millisecond
	// pollTimeout limits a call without a wait. Discovery processes calls one by one and rejects them after about 2 s. Two
	// polls fit into InformedAfterTimeout.
	pollTimeout = 2500 * time.Millisecond
	// ConnectTimeout limits how long a connection may take to open. It is part of each call's timeout.
	ConnectTimeout = time.Second

	minBackoff, maxBackoff = 50 * time.Millisecond, time.Second // after a failure, if the list is pushed
)

// Settings say how the courier receives the endpoint list.
type Settings struct {
	Pushed    bool // lists are pushed: the platform assumes the courier knows the agent's list even if no call is in flight
	ListKnown bool // the courier has a list and can watch for changes; otherwise it polls the complete list
}

// Result is the result of the previous call.
type Result uint8

const (
	NoCall   Result = iota // no previous call: the process started, or the address of discovery changed
	Answered               // received a list or changes
	TimedOut               // no complete answer before the timeout
	Failed                 // rejected, connection refused or reset, or an invalid answer
)

// Call describes the next call.
type Call struct {
	Delay   time.Duration // from now
	Wait    time.Duration // how long discovery is asked to wait for changes; 0 is a poll of the complete list
	Timeout time.Duration // from the start of the call
	// OnRequest means that the call starts only when the decision module requests it. The module determines the backoff
	// after a failure.
	OnRequest bool
}

// Planner plans the calls of one courier to discovery. Its zero value is ready for use.
type Planner struct {
	timeouts, failures int // consecutive
}

// Next returns the call that follows the result. The argument chance is a random number, uniform in [0, 1).
func (p *Planner) Next(s Settings, r Result, chance float64) Call {
	switch r {
	case NoCall:
		*p = Planner{}
	case Answered:
		*p = Planner{}
	case TimedOut:
		if p.timeouts++; p.timeouts == 1 {
			return s.poll(0) // an update may be due already, and a poll returns it sooner than a watch
		}
		fallthrough
	case Failed:
		p.failures++
		if !s.Pushed {
			c := s.watch(0)
			c.OnRequest = true
			return c
		}
		backoff := min(minBackoff<<min(p.failures-1, 8), maxBackoff)
		return s.watch(time.Duration((0.5 + 0.5*chance) * float64(backoff)))
	}
	c := s.watch(0)
	c.OnRequest = r == NoCall && !s.Pushed
	return c
}

// poll returns a call for the complete list that starts after the given time.
func (s *Settings) poll(after time.Duration) Call { return Call{Delay: after, Timeout: pollTimeout} }

// watch returns a watch that starts after the given time, or a poll if there is no list yet.
func (s *Settings) watch(after time.Duration) Call {
	if !s.ListKnown {
		return s.poll(after)
	}
	return Call{Delay: after, Wait: watchWait, Timeout: watchWait + watchGrace}
}
