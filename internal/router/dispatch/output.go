package dispatch

import (
	"time"

	"raventrestle/internal/protocol"
)

// Output is an action that the caller must perform: one of the types in this file.
type Output interface{ output() }

// Send requests a call to the endpoint now. The request occupies one of the router's slots until AttemptFinished.
type Send struct {
	ID             RequestID
	Endpoint       string // its ID, for X-Expected-Instance
	Address        string // host:port
	Priority       int    // value of the Priority header, 0 (most urgent) to 9
	MaxConnections int    // of this router to the endpoint
}

// Reason is why a request is rejected.
type Reason uint8

// Reasons of a rejection.
const (
	QuotaExceeded        Reason = iota // 429
	TargetUnreachable                  // 503: it can't be served in time
	NoEndpoint                         // 503: the service has no endpoint, or none that has the model in time
	RetryBudgetExhausted               // the retry budget allows no further attempt
	AttemptsExhausted                  // MaxEndpoints reached, too many rejections, or it may have executed and is not retryable
	ShuttingDown                       // 503: this process is about to end, and another router may serve the request
)

// String returns a human-readable description of the reason.
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

// Reject requests an answer without an endpoint. RetryAfter is the time after which the client may retry, 0 if a
// retry can't succeed before its deadline. The caller answers 429 or 503 only if the request certainly has not
// executed, and 502 otherwise.
type Reject struct {
	ID         RequestID
	Reason     Reason
	RetryAfter time.Duration
}

// Abandon requests that the call is ended now, because its endpoint does not respond and the request can continue
// elsewhere. The caller replies with AttemptFinished{Result: ConnectionLost, NeedsRetry: true}. Only retryable
// requests are abandoned.
type Abandon struct {
	ID       RequestID
	Endpoint string
}

// RequestCredit asks the control instance that the router follows for credit. The answer arrives as CreditGranted, or
// not at all.
type RequestCredit struct{ Request protocol.CreditRequest }

// Summary counts the outcomes of the requests that ended within the window. None is emitted while all requests are
// served in time.
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
