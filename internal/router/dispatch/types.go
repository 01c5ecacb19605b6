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

// Part is one part of a prompt, as X-Prefix-Hash names it.
type Part struct {
	Hash   uint64
	Tokens int
}

// Request is what dispatch needs to know of a client's request.
type Request struct {
	ID             RequestID
	Service        string // chosen from the route's split by the host
	Model, Adapter string // empty for a service without an engine
	Parts          []Part
	PromptTokens   int // X-Token-Usage
	OutputTokens   int // most that are put out
	Tenant         string
	Charge         float64 // in the unit of the tenant's quota
	TenantPriority int     // 0 is the most urgent; goes before RoutePriority
	RoutePriority  int
	Repeatable     bool // may run more than once: idempotent, or a stream that may be resumed
	Streaming      bool
	Objective      time.Time // when the first event or the answer is due for the full worth
	Deadline       time.Time // when the client gives up, or the route's timeout if that is earlier
	Arrived        time.Time
	MaxEndpoints   int  // most endpoints it may be sent to
	Again          bool // seems to be a client's further try: its deadline is well below the route's time
}

// Input is something that happened: one of the types below.
type Input interface{ input() }

// Arrived: a request was read whole and passed its checks.
type Arrived struct{ Request Request }

// Withdrawn: the client left, or the host stops. A held request is forgotten; one that is out ends with Finished.
type Withdrawn struct{ ID RequestID }

// FirstByte: the endpoint began to answer (head of the answer, or first event of a stream).
type FirstByte struct {
	ID       RequestID
	Endpoint string
	Load     *ToldLoad // from X-Instance-Load of the answer's head, nil without
}

// Progress: an event of a stream arrived; sent at most a few times a second for each request.
type Progress struct {
	ID       RequestID
	Endpoint string
	Events   int // since the last
}

// Stalled: a stream that may go on elsewhere has paused for long. The call goes on unless Abandon follows.
type Stalled struct {
	ID       RequestID
	Endpoint string
}

// Result says how a call ended.
type Result uint8

// The results of a call.
const (
	Succeeded   Result = iota // whole answer below 500
	Failed                    // the endpoint answered with a failure of its own; it ran
	Refused                   // X-Not-Executed or 421: it surely did not run
	NotSent                   // no byte of it was written: the connection could not be made
	Lost                      // reset, closed, silent or garbled after bytes were written: it may have run
	GivenUp                   // ended by this side: deadline, client gone
	WrongTarget               // 421: another incarnation has the address, or the model is not there
)

// Finished: a call ended. More: the request itself goes on and asks for another endpoint (a failure that
// may be repeated, or a stream that broke off and may be resumed).
type Finished struct {
	ID       RequestID
	Endpoint string
	Result   Result
	More     bool
	Load     *ToldLoad // from X-Instance-Load, nil without
}

// ToldLoad is what an endpoint said of itself in an answer.
type ToldLoad struct{ Running, Waiting, Slots int }

// ViewChanged: the control plane sent endpoints, a configuration, grants or the number of routers.
type ViewChanged struct {
	Configuration *configuration.Configuration // nil: unchanged
	Full          bool                         // Endpoints is the whole table
	Endpoints     []protocol.Endpoint
	Quotas        []protocol.QuotaGrant
	Routers       int // 0: unchanged
}

// Closing: this process ends. From HoldUntil on nothing is held for longer than a moment: what can't be sent is
// refused, and its client comes back to another router. Only a stream that broke off midway still waits. From ChooseFrom on
// only what can be expected to end well before EndBy is taken on, the rest is refused at once.
type Closing struct {
	HoldUntil  time.Time
	ChooseFrom time.Time // zero: whatever comes is taken on
	EndBy      time.Time
}

func (Arrived) input()     {}
func (Withdrawn) input()   {}
func (FirstByte) input()   {}
func (Stalled) input()     {}
func (Progress) input()    {}
func (Finished) input()    {}
func (ViewChanged) input() {}
func (Closing) input()     {}

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
	OverQuota   Reason = iota // 429
	NoTime                    // 503: can't be served within its time
	NoEndpoint                // 503: no endpoint of the service, or none holds the model in time
	BudgetSpent               // what failed may not be sent again
	Exhausted                 // MaxEndpoints reached, or it may have run and is not repeatable
	Leaving                   // 503: this process ends, and another router may serve the request
)

// Refuse: answer at once. RetryAfter is when the client may come back, 0 where coming back is useless.
// The host answers 429 or 503 only if the request surely has not run, else 502.
type Refuse struct {
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
func (Refuse) output()  {}
func (Abandon) output() {}
func (Report) output()  {}
