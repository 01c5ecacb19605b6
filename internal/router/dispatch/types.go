// Package dispatch decides for one router which request goes to which endpoint and when, and which is
// refused. It is pure: the host passes in what happened with the time at which it did, and carries out
// what comes back. All times are since the start of the process.
//
// The ordinary path is ASFQ (package asfq): each endpoint is a flow, the held head with the lowest start
// tag plus delta leaves while slots are free.
package dispatch

import (
	"time"

	"raventrestle/internal/configuration"
	"raventrestle/internal/protocol"
)

// RequestID names a request within one process.
type RequestID uint64

// PromptPart is one part of a prompt, as X-Prefix-Hash names it.
type PromptPart struct {
	Hash   uint64
	Tokens int
}

// Request is what dispatch needs to know of a client's request.
type Request struct {
	ID             RequestID
	Service        string // chosen from the route's split by the host
	Model, Adapter string // empty for a service without an engine
	PromptParts    []PromptPart
	PromptTokens   int // X-Token-Usage
	OutputTokens   int // most that are put out
	Tenant         string
	Charge         float64 // in the unit of the tenant's quota
	TenantPriority int     // 0 is the most urgent; goes before RoutePriority
	RoutePriority  int
	Retryable      bool // may run more than once: idempotent, or a stream that may be resumed
	Streaming      bool
	LatencyTarget  time.Time // when the first event or the answer is due for the full worth
	Deadline       time.Time // when the client gives up, or the route's timeout if that is earlier
	ArrivedAt      time.Time
	MaxEndpoints   int  // most endpoints it may be sent to
	ClientRetry    bool // seems to be a client's further try: its deadline is well below the route's time
}

// Input is something that happened: one of the types below.
type Input interface{ input() }

// Arrived: a request was read whole and passed its checks.
type RequestArrived struct{ Request Request }

// Withdrawn: the client left, or the host stops. A held request is forgotten; one that is out ends with Finished.
type RequestCanceled struct{ ID RequestID }

// FirstByte: the endpoint began to answer (head of the answer, or first event of a stream).
type FirstByteReceived struct {
	ID       RequestID
	Endpoint string
	Load     *AdvertisedLoad // from X-Instance-Load of the answer's head, nil without
}

// Progress: an event of a stream arrived; sent at most a few times a second for each request.
type StreamProgress struct {
	ID       RequestID
	Endpoint string
	Events   int // since the last
}

// Stalled: a stream that may go on elsewhere has paused for long. The call goes on unless Abandon follows.
type StreamStalled struct {
	ID       RequestID
	Endpoint string
}

// Result says how a call ended.
type Result uint8

// The results of a call.
const (
	Succeeded      Result = iota // whole answer below 500
	Failed                       // the endpoint answered with a failure of its own; it ran
	Rejected                     // X-Not-Executed or 421: it surely did not run
	NotSent                      // no byte of it was written: the connection could not be made
	ConnectionLost               // reset, closed, silent or garbled after bytes were written: it may have run
	Canceled                     // ended by this side: deadline, client gone
	Misdirected                  // 421: another incarnation has the address, or the model is not there
)

// Finished: a call ended. More: the request itself goes on and asks for another endpoint (a failure that
// may be repeated, or a stream that broke off and may be resumed).
type AttemptFinished struct {
	ID         RequestID
	Endpoint   string
	Result     Result
	NeedsRetry bool
	Load       *AdvertisedLoad // from X-Instance-Load, nil without
}

// AdvertisedLoad is what an endpoint said of itself in an answer.
type AdvertisedLoad struct{ Running, Waiting, Slots int }

// ViewChanged: the control plane sent endpoints, a configuration, grants or the number of routers.
type ViewChanged struct {
	Configuration *configuration.Configuration // nil: unchanged
	Full          bool                         // Endpoints is the whole table
	Endpoints     []protocol.Endpoint
	Quotas        []protocol.QuotaGrant
	RouterCount   int // 0: unchanged
}

// Closing: this process ends. From HoldUntil on nothing is held for longer than a moment: what can't be sent is
// refused, and its client comes back to another router. Only a stream that broke off midway still waits. From ChooseFrom on
// only what can be expected to end well before EndBy is taken on, the rest is refused at once.
type ShutdownStarted struct {
	QueueDeadline          time.Time
	SelectiveAdmissionFrom time.Time // zero: whatever comes is taken on
	ShutdownDeadline       time.Time
}

func (RequestArrived) input()    {}
func (RequestCanceled) input()   {}
func (FirstByteReceived) input() {}
func (StreamStalled) input()     {}
func (StreamProgress) input()    {}
func (AttemptFinished) input()   {}
func (ViewChanged) input()       {}
func (ShutdownStarted) input()   {}

// Output is something the host must do: one of the types below.
type Output interface{ output() }

// Send: call this endpoint now. The request holds one of the router's slots until Finished.
type Send struct {
	ID             RequestID
	Endpoint       string // its id, for X-Expected-Instance
	Address        string
	Priority       int // for the Priority header, 0 to 9
	MaxConnections int // this router's share at this endpoint
}

// Reason says why a request is refused.
type Reason uint8

// The reasons of a refusal.
const (
	QuotaExceeded        Reason = iota // 429
	TargetUnreachable                  // 503: can't be served within its time
	NoEndpoint                         // 503: no endpoint of the service, or none holds the model in time
	RetryBudgetExhausted               // what failed may not be sent again
	AttemptsExhausted                  // MaxEndpoints reached, or it may have run and is not repeatable
	ShuttingDown                       // 503: this process ends, and another router may serve the request
)

// Refuse: answer at once. RetryAfter is when the client may come back, 0 where coming back is useless.
// The host answers 429 or 503 only if the request surely has not run, else 502.
type Reject struct {
	ID         RequestID
	Reason     Reason
	RetryAfter time.Duration
}

// Abandon: end this call now, its endpoint is silent and the request goes on elsewhere. The host answers
// with Finished{Lost, More}. Only requests that may run twice, before their first byte, are abandoned.
type Abandon struct {
	ID       RequestID
	Endpoint string
}

// Report: demand since the last report, to be sent to the control plane.
type Report struct{ Report protocol.Report }

func (Send) output()    {}
func (Reject) output()  {}
func (Abandon) output() {}
func (Report) output()  {}
