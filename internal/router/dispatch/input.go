package dispatch

import (
	"time"

	"raventrestle/internal/configuration"
	"raventrestle/internal/protocol"
)

// Input is something that happened: one of the types of this file.
type Input interface{ input() }

// RequestArrived says that a request was read completely and passed the checks of the ingress.
type RequestArrived struct{ Request Request }

// RequestCanceled says that the client left or that the process stops. A queued request is removed; one in flight ends with
// AttemptFinished.
type RequestCanceled struct{ ID RequestID }

// FirstByteReceived says that the endpoint began to answer: header of the answer, or first event of a stream.
type FirstByteReceived struct {
	ID       RequestID
	Endpoint string
	Load     *AdvertisedLoad // from X-Instance-Load of the answer's header, nil without
}

// StreamProgress says that events of a stream arrived. It is sent at most a few times a second per request.
type StreamProgress struct {
	ID       RequestID
	Endpoint string
	Events   int // since the last StreamProgress
}

// StreamStalled says that a resumable stream has brought no event for long. The attempt continues unless Abandon follows.
type StreamStalled struct {
	ID       RequestID
	Endpoint string
}

// Result says how an attempt ended.
type Result uint8

// Results of an attempt.
const (
	Succeeded      Result = iota // complete answer with a status below 500
	Failed                       // the endpoint answered with a failure of its own: it executed
	Rejected                     // X-Not-Executed or 421: it surely did not execute
	NotSent                      // no byte was written: the connection could not be made
	ConnectionLost               // reset, closed, timed out or garbled after bytes were written: it may have executed
	Canceled                     // ended by this side: deadline, or the client left
	Misdirected                  // 421: another incarnation has the address, or the model is not there
)

// AttemptFinished says that an attempt ended. With NeedsRetry the request itself continues and asks for another endpoint: a failure
// that may be retried, or a stream that broke off and may be resumed.
type AttemptFinished struct {
	ID         RequestID
	Endpoint   string
	Result     Result
	NeedsRetry bool
	Load       *AdvertisedLoad // from X-Instance-Load, nil without
	LongestGap time.Duration   // between two events of a complete stream, over all its attempts
}

// AdvertisedLoad is the load that an endpoint stated in an answer: requests that execute, requests that wait, and its slots.
type AdvertisedLoad struct{ Running, Waiting, Slots int }

// CreditGranted carries a control instance's answer to a RequestCredit.
type CreditGranted struct{ Grant *protocol.CreditGrant }

// ViewChanged carries what the control plane sent: endpoints, a configuration or the number of routers.
type ViewChanged struct {
	Configuration *configuration.Configuration // nil: unchanged
	Full          bool                         // Endpoints is the complete table; what it lacks has departed
	Endpoints     []protocol.Endpoint
	RouterCount   int // 0: unchanged
}

// ShutdownStarted says that this process is going to end. From QueueDeadline on no request stays queued for more than a moment: what
// can't be sent is rejected, and its client retries at another router. Only a stream that broke off midway still waits. From
// SelectiveAdmissionFrom on only what is expected to finish well before ShutdownDeadline is admitted, the rest is rejected at once.
type ShutdownStarted struct {
	QueueDeadline          time.Time
	SelectiveAdmissionFrom time.Time // zero: every request is admitted until the end
	ShutdownDeadline       time.Time
}

func (RequestArrived) input() {}

func (RequestCanceled) input() {}

func (FirstByteReceived) input() {}

func (StreamStalled) input() {}

func (StreamProgress) input() {}

func (AttemptFinished) input() {}

func (ViewChanged) input() {}

func (CreditGranted) input() {}

func (ShutdownStarted) input() {}
