package dispatch

import (
	"time"

	"raventrestle/internal/configuration"
	"raventrestle/internal/protocol"
)

// Input is an event that the decider handles: one of the types in this file.
type Input interface{ input() }

// RequestArrived reports a request that was read completely and passed the checks of the ingress.
type RequestArrived struct{ Request Request }

// RequestCanceled reports that the client disconnected or that the process stops. A queued request is removed; a
// request in flight ends with AttemptFinished.
type RequestCanceled struct{ ID RequestID }

// FirstByteReceived reports that the endpoint began to answer: with the header of the answer, or the first event of a
// stream.
type FirstByteReceived struct {
	ID       RequestID
	Endpoint string
	Load     *AdvertisedLoad // from X-Instance-Load in the answer's header; nil if it is missing
}

// StreamProgress reports that events of a stream arrived. It is sent at most a few times per second and request.
type StreamProgress struct {
	ID       RequestID
	Endpoint string
	Events   int // since the last StreamProgress
}

// StreamStalled reports that a resumable stream has not delivered an event for a long time. The attempt continues
// unless Abandon follows.
type StreamStalled struct {
	ID       RequestID
	Endpoint string
}

// Result is how an attempt ended.
type Result uint8

// Results of an attempt.
const (
	Succeeded      Result = iota // complete answer with a status below 500
	Failed                       // the endpoint answered with a failure of its own: it executed the request
	Rejected                     // X-Not-Executed, but not 421: the request certainly did not execute
	NotSent                      // no byte was written, because no connection could be made
	ConnectionLost               // reset, closed, timed out or garbled after bytes were written: the request may have executed
	Canceled                     // ended by this router: deadline exceeded, or the client disconnected
	Misdirected                  // 421: another incarnation has the address, or the model is not loaded
)

// AttemptFinished reports the end of an attempt. With NeedsRetry the request itself continues and needs another
// endpoint: after a failure that may be retried, or because a stream broke off and may be resumed.
type AttemptFinished struct {
	ID         RequestID
	Endpoint   string
	Result     Result
	NeedsRetry bool
	Load       *AdvertisedLoad // from X-Instance-Load; nil if it is missing
	LongestGap time.Duration   // longest time between two events of a complete stream, over all its attempts
}

// AdvertisedLoad is the load that an endpoint advertised in an answer: requests that execute, requests that wait, and
// its slots.
type AdvertisedLoad struct{ Running, Waiting, Slots int }

// CreditGranted carries a control instance's answer to a RequestCredit.
type CreditGranted struct{ Grant *protocol.CreditGrant }

// ViewChanged carries an update from the control plane: endpoints, a configuration or the number of routers.
type ViewChanged struct {
	Configuration *configuration.Configuration // nil: unchanged
	Full          bool                         // Endpoints is the complete table; endpoints missing in it have departed
	Endpoints     []protocol.Endpoint
	RouterCount   int // 0: unchanged
}

// ShutdownStarted reports that this process is going to end. From QueueDeadline on, requests stay queued only for a
// moment: those that can't be sent are rejected, and their clients retry at another router. Only a stream that broke
// off midway still waits. From SelectiveAdmissionFrom on, only requests that are expected to finish well before
// ShutdownDeadline are admitted; the others are rejected at once.
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
