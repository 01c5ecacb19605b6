package dispatch

import (
	"slices"
	"time"
)

// RequestID identifies a request within one process.
type RequestID uint64

// PromptPart is one part of a prompt as named by the header X-Prefix-Hash.
type PromptPart struct {
	Hash   uint64
	Tokens int
}

// Request is what dispatch needs to know of a client's request.
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
	Retryable      bool    // may execute more than once: idempotent, or a stream that can be resumed
	Streaming      bool

	// LatencyTarget is when the first event of a stream, or the complete answer, is due for its full value.
	LatencyTarget time.Time
	// EventGapTarget is the longest time between two events of a stream that is in time; 0: none is too long.
	EventGapTarget time.Duration
	Deadline       time.Time // when the client gives up, or the route's timeout if that is earlier
	ArrivedAt      time.Time
	MaxEndpoints   int  // maximum of endpoints that may execute it
	ClientRetry    bool // presumably the client's own retry: its deadline is well below the route's timeout
}

// stage is where a request stands.
type stage uint8

const (
	stageQueued   stage = iota // in an endpoint's queue, unassigned, or waiting for quota
	stageInFlight              // sent to an endpoint
	stageDone                  // removed
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

	endpoint        *endpoint // in whose queue it is, or to which it was sent; nil: unassigned
	chosenAtVersion int       // group.version when its endpoint was chosen
	queueDeadline   time.Duration
	timerAt         time.Duration // when runTimers looks at it next
	pastTarget      bool          // sent although its target can't be met; queued behind all others
	exploratory     bool          // sent against the estimates, to correct them
	sizes           sizeInterval  // of its prompt among those of the service

	// Of the attempt in flight.
	sentAt           time.Duration
	predictedMS      float64 // time to the first byte
	slownessAtSend   float64 // factor of the endpoint's slowness
	prefillAtSend    float64 // thousands of tokens that the endpoint reads before its first byte
	uncontended      bool    // it did not have to wait for a slot, so that its time measures the prefill alone
	verifying        *residency
	prefillTokens    int
	firstByteSeen    bool
	firstByteAt      time.Duration // of the first attempt that began to answer; 0: none has
	probe            bool          // to an endpoint that recovers
	abandoned        bool
	responseTimeouts int

	// Of all attempts.
	answerStarted      bool // some endpoint began to answer
	waitedForLoad      bool // some time no endpoint had what it needs
	attempted          []*endpoint
	possibleExecutions int // endpoints on which it may have executed
	deferrals          int // times it was queued again at its queue deadline
	rejections         int // deliveries that surely did not execute
	deliveries         int // attempts that reached an endpoint
	mayHaveExecuted    bool

	charged         float64       // quota, to be refunded if it surely did not execute
	creditExpiresAt time.Duration // of the credit that paid it; 0: the reserve did
	awaitingQuota   bool
	budgetSlice     int64 // of the retry budget, from which its last retry was taken
	budgetSpent     bool  // the last attempt was a retry
}

// rank is the request's order in a queue: its tenant's priority before its route's.
func rank(r *Request) int {
	return max(r.TenantPriority, 0)*ranksPerTenantPriority + min(max(r.RoutePriority, 0), ranksPerTenantPriority-1)
}

// isLarge reports whether the request is well above the mean size of its model's requests. Its own prefill takes much of its target, so
// that without help it would be rejected again and again.
func (r *request) isLarge() bool {
	return float64(r.PromptTokens)+float64(r.OutputTokens)/2 > largeRequestFactor*r.group.meanKVTokens
}

// hasAttempted reports whether the request has been sent to the endpoint before.
func (r *request) hasAttempted(e *endpoint) bool { return slices.Contains(r.attempted, e) }

// noteExecution notes that the request may have executed on one endpoint more.
func (r *request) noteExecution() {
	r.possibleExecutions++
	r.mayHaveExecuted = true
}
