package dispatch

import (
	"slices"
	"time"
)

// RequestID identifies a request within one process.
type RequestID uint64

// PromptPart is one part of a prompt, as named by the X-Prefix-Hash header.
type PromptPart struct {
	Hash   uint64
	Tokens int
}

// Request is what the decider needs to know about a client's request.
type Request struct {
	ID             RequestID
	Service        string // chosen by the caller from the route's traffic split
	Model, Adapter string // empty for a service without an engine
	PromptParts    []PromptPart
	PromptTokens   int // X-Token-Usage
	OutputTokens   int // maximum
	Tenant         string
	Charge         float64 // against the tenant's quota, in its unit
	TenantPriority int     // 0 is the most urgent; compared before RoutePriority
	RoutePriority  int     // 0 is the most urgent
	Retryable      bool    // may execute more than once: it is idempotent, or a stream that can be resumed
	Streaming      bool
	Resumed        bool // the client asks for the rest of a stream

	// LatencyTarget is when the first event of a stream, or the complete answer, must arrive to have its full value.
	LatencyTarget time.Time
	// EventGapTarget is the maximum time between two events of a stream that is in time; 0: no maximum.
	EventGapTarget time.Duration
	Deadline       time.Time // when the client gives up, or the route's timeout if that is earlier
	ArrivedAt      time.Time
	MaxEndpoints   int  // maximum number of endpoints that may execute it
	ClientRetry    bool // presumably a retry by the client: its deadline is well below the route's timeout
}

// stage is the state of a request in the decider.
type stage uint8

const (
	stageQueued   stage = iota // in an endpoint's queue, unassigned, or waiting for quota
	stageInFlight              // sent to an endpoint
	stageDone                  // removed from the decider
)

// request is the state of a client's request from its arrival to its end.
type request struct {
	Request
	arrived, latencyTarget, deadline time.Duration
	rank                             int // order in a queue, 0 first
	group                            *modelGroup
	target                           *demandTarget
	prefixHashes                     []uint64 // computed once by prefixChain
	stage                            stage
	canceled                         bool

	endpoint        *endpoint // in whose queue it is, or to which it was sent; nil if unassigned
	chosenAtVersion int       // group.version when its endpoint was chosen
	queueDeadline   time.Duration
	timerAt         time.Duration // when its timer is due; 0: it has none
	pastTarget      bool          // sent although it will miss its target; queued behind all others
	exploratory     bool          // sent to correct the estimates, although it is predicted to miss its target
	sizeInterval    sizeInterval  // of its prompt among those of the service

	// State of the latest attempt.
	sentAt           time.Duration
	predictedMS      float64    // predicted time to the first byte
	slownessAtSend   float64    // factor of the endpoint's slowness when it was sent
	prefillAtSend    float64    // thousands of tokens that the endpoint prefills before its first byte, as of its sending
	uncontended      bool       // it did not have to wait for a slot, so that its time to the first byte depends on the prefill alone
	verifying        *residency // residency whose assumption the attempt verifies, or nil
	prefillTokens    int        // of its own prompt
	firstByteSeen    bool
	firstByteAt      time.Duration // of the first attempt that began to answer; 0: none has
	probe            bool          // it was sent to an endpoint that recovers
	abandoned        bool
	responseTimeouts int // response timeouts that have passed without a first byte

	// State over all attempts.
	answerStarted      bool        // some endpoint began to answer
	waitedForLoad      bool        // at some time no endpoint had what it needs
	attempted          []*endpoint // endpoints where an attempt has ended
	possibleExecutions int         // endpoints on which it may have executed
	deferrals          int         // times it was requeued at its queue deadline
	rejections         int         // attempts that certainly did not execute
	deliveries         int         // attempts that reached an endpoint
	mayHaveExecuted    bool

	charged         float64       // charge to the quota, to be refunded if it certainly did not execute
	creditExpiresAt time.Duration // of the credit that was charged; 0: the reserve was charged
	awaitingQuota   bool
	budgetSlice     int64 // slice of the retry budget from which its last retry was taken
	budgetSpent     bool  // the last attempt was a retry
}

// rank returns the request's order in a queue: its tenant's priority, then its route's.
func rank(r *Request) int {
	return max(r.TenantPriority, 0)*ranksPerTenantPriority + min(max(r.RoutePriority, 0), ranksPerTenantPriority-1)
}

// isLarge reports whether the request is well above the mean size of its model's requests. Its own prefill takes a
// large part of its latency target, so that without preference it would be rejected again and again.
func (r *request) isLarge() bool {
	return float64(r.PromptTokens)+float64(r.OutputTokens)/2 > largeRequestFactor*r.group.meanKVTokens
}

// hasAttempted reports whether the request has been sent to the endpoint before.
func (r *request) hasAttempted(e *endpoint) bool { return slices.Contains(r.attempted, e) }

// recordPossibleExecution records that the request may have executed on one more endpoint.
func (r *request) recordPossibleExecution() {
	r.possibleExecutions++
	r.mayHaveExecuted = true
}
