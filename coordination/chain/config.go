package chain

import (
	"time"

	"raventrestle/coordination/internal/mutation"
)

// Config is the set of values that a node is constructed with.
type Config struct {
	FaultTolerance int      // number of disks that may be lost at once; called f elsewhere
	Seeds          []string // transport addresses at which a member searches for the group
	RandomSeed     uint64   // seeds the node's random numbers; must differ at each start
	Timing         Timing   // the zero value means DefaultTiming
	Mutation       mutation.Set
}

// Timing holds the intervals, timeouts and windows of a node. DefaultTiming suits a local network.
type Timing struct {
	HeartbeatInterval   time.Duration // time between the head's heartbeats to one member
	SuspectTimeout      time.Duration // time without an answer after which a member is considered failed
	PreVoteTimeout      time.Duration // time without contact to the head after which a voter grants a pre-vote
	LeaseTTL            time.Duration // how long a majority's confirmation is valid after the heartbeat was sent
	AdmissionWindow     time.Duration // time of uninterrupted answers before a member is admitted to the chain
	MaxAdmissionWindow  time.Duration // bound of that time after repeated failures; it delays the tolerance of the next loss
	VoterReplaceTimeout time.Duration // time without an answer after which a voter's vote may be given to a learner
	ProgressTimeout     time.Duration // time without progress, while the predecessor is ahead, before a removal
	GraceWindow         time.Duration // time after a start in which no member is suspected
	RetryInterval       time.Duration // time before an unanswered request is sent again
	ProposalTimeout     time.Duration // maximum duration of one proposal of a view
	RankBackoff         time.Duration // delay between the takeover attempts of voters of adjacent ranks
	PromiseWindow       time.Duration // time to wait for further promises once a majority has promised
	StallTimeout        time.Duration // delay of a step that indicates that the process was stopped
}

// DefaultTiming returns the timing for links with a latency of some milliseconds.
func DefaultTiming() Timing {
	return Timing{
		HeartbeatInterval:   150 * time.Millisecond,
		SuspectTimeout:      650 * time.Millisecond,
		PreVoteTimeout:      450 * time.Millisecond,
		LeaseTTL:            900 * time.Millisecond,
		AdmissionWindow:     500 * time.Millisecond,
		MaxAdmissionWindow:  2000 * time.Millisecond,
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
