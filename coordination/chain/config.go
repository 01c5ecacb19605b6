package chain

import (
	"time"

	"raventrestle/coordination/internal/mutation"
)

// Config is the set of values that a node is constructed with.
type Config struct {
	FaultTolerance int      // number of disks that may be lost at once; called f elsewhere
	Seeds          []string // transport addresses at which a member searches for the group
	RandomSeed     uint64   // of the node's own random numbers; must differ at each start
	Timing         Timing   // the zero value means DefaultTiming
	Mutation       mutation.Set
}

// Timing holds the intervals, timeouts and windows of a node. DefaultTiming suits a local network.
type Timing struct {
	HeartbeatInterval   time.Duration // between the head's heartbeats to one member
	SuspectTimeout      time.Duration // without an answer, after which a member is taken for failed
	PreVoteTimeout      time.Duration // without the head, after which a voter grants another voter's pre-vote
	LeaseTTL            time.Duration // how long a majority's confirmation is valid, from the sending of the heartbeat
	AdmissionWindow     time.Duration // of unbroken answers before a member is admitted to the chain
	VoterReplaceTimeout time.Duration // without an answer, after which a voter's vote may go to a learner
	ProgressTimeout     time.Duration // without progress although the predecessor is ahead, before a member is removed
	GraceWindow         time.Duration // after a start, before anybody is suspected
	RetryInterval       time.Duration // before an unanswered request is sent again
	ProposalTimeout     time.Duration // for one proposal of a view
	RankBackoff         time.Duration // between the takeover attempts of one voter and those of the next in rank
	PromiseWindow       time.Duration // in which further promises are awaited once a majority has promised
	StallTimeout        time.Duration // lateness of a step that shows that the process was stopped
}

// DefaultTiming returns the timing for links with a latency of some milliseconds.
func DefaultTiming() Timing {
	return Timing{
		HeartbeatInterval:   150 * time.Millisecond,
		SuspectTimeout:      650 * time.Millisecond,
		PreVoteTimeout:      450 * time.Millisecond,
		LeaseTTL:            900 * time.Millisecond,
		AdmissionWindow:     500 * time.Millisecond,
		VoterReplaceTimeout: 1200 * time.Millisecond,
		ProgressTimeout:     800 * time.Millisecond,
		GraceWindow:         1000 * time.Millisecond,
		RetryInterval:       200 * time.Millisecond,
		ProposalTimeout:     400 * time.Millisecond,
		RankBackoff:         130 * time.Millisecond,
		PromiseWindow:       60 * time.Millisecond,
		StallTimeout:        300 * time.Millisecond,
	}
}
