package dispatch

import (
	"time"

	"raventrestle/internal/protocol"
)

// Output is something the caller must do: one of the types of this file.
type Output interface{ output() }

// Send asks for a call to the endpoint now. The request occupies one of the router's slots until AttemptFinished.
type Send struct {
	ID             RequestID
	Endpoint       string // its ID, for X-Expected-Instance
	Address        string // host:port
	Priority       int    // of the header Priority, 0 (most urgent) to 9
	MaxConnections int    // this router's share of the endpoint's connections
}

// Reason says why a request is rejected.
type Reason uint8

// Reasons of a rejection.
const (
	QuotaExceeded        Reason = iota // 429
	TargetUnreachable                  // 503: can't be served in time
	NoEndpoint                         // 503: no endpoint of the service, or none has the model in time
	RetryBudgetExhausted               // what failed must not be retried
	AttemptsExhausted                  // MaxEndpoints reached, or it may have executed and is not retryable
	ShuttingDown                       // 503: this process ends, and another router may serve the request
)

// String returns the reason as text for people.
func (r Reason) String() string {
	switch r {
	case QuotaExceeded:
		return "quota exceeded"
	case TargetUnreachable:
		return "latency target unreachable"
	case NoEndpoint:
		return "no endpoint"
	case RetryBudgetExhausted:
		return "retry budget exhausted"
	case ShuttingDown:
		return "shutting down"
	case AttemptsExhausted:
		return "attempts exhausted"
	}
	return "unknown"
}

// Reject asks for an answer without an endpoint. RetryAfter is when the client may retry, 0 if a retry can't succeed before its deadline.
// The caller answers 429 or 503 only if the request surely has not executed, else 502.
type Reject struct {
	ID         RequestID
	Reason     Reason
	RetryAfter time.Duration
}

// Abandon asks to end this call now, because its endpoint does not respond and the request can go on elsewhere. The caller answers with
// AttemptFinished{Result: ConnectionLost, NeedsRetry: true}. Only retryable requests are abandoned.
type Abandon struct {
	ID       RequestID
	Endpoint string
}

// RequestCredit asks the followed control instance for credit. The answer comes as CreditGranted, or not at all.
type RequestCredit struct{ Request protocol.CreditRequest }

// Summary says what became of the requests that ended within the window. There is none while all are served in time.
type Summary struct {
	Window   time.Duration
	Outcomes Outcomes
}

// Report carries the demand since the last report, to be sent to the control plane.
type Report struct{ Report protocol.Report }

func (Send) output() {}

func (Reject) output() {}

func (Abandon) output() {}

func (Report) output() {}

func (RequestCredit) output() {}

func (Summary) output() {}
