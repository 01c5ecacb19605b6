package ingress

import (
	"net/http"
	"strconv"
	"time"
)

// Values of Retry-After that the router chooses itself; the others come from the dispatcher.
const (
	noConfigurationRetryAfter    = 500 * time.Millisecond
	staleConfigurationRetryAfter = 200 * time.Millisecond // another router may have the newer configuration
	noMemoryRetryAfter           = 250 * time.Millisecond
	shutdownRetryAfter           = 50 * time.Millisecond // another router takes the request
)

// rejectionReason is why the router answers a request by itself instead of passing on an endpoint's answer.
type rejectionReason int

const (
	// What the request is like.
	reasonUnsupportedVersion rejectionReason = iota
	reasonUnsupportedMethod
	reasonAmbiguousLength // Content-Length beside Transfer-Encoding
	reasonHeadTooLarge
	reasonInvalidTarget
	reasonInvalidRequestID
	reasonInvalidDeadline
	// Its body.
	reasonBodyTooLarge
	reasonBodyUnreadable
	reasonBodyTimeout
	reasonNoBodyMemory
	reasonNoReadDeadline // the connection does not support one
	// What the configuration in force says of it.
	reasonNoConfiguration
	reasonStaleConfiguration // it is not known here, and this router may not have the newest configuration
	reasonUnknownRoute
	reasonUnauthenticated
	reasonUnknownService
	// Why it was not answered by an endpoint.
	reasonShutdown       // this process ends; the request has not run
	reasonQuotaExceeded  // the dispatcher's decision; it has not run
	reasonNotDispatched  // the dispatcher's decision for another reason; it has not run
	reasonNotRun         // no time or no endpoint is left; it has not run
	reasonOutcomeUnknown // it may have run, and brought no answer
	reasonDeadlinePassed // the same, and its deadline has passed
)

// rejectionAnswer is what a client gets for a reason.
type rejectionAnswer struct {
	status          int
	retryAfter      time.Duration // 0: none, or the dispatcher's
	closeConnection bool
}

// rejectionAnswers maps every reason to its answer. A status of 408, 429 or 503 promises to the client that the request
// has not run and will not: one that may have run is answered 502 or 504. The connection is closed where the end of the
// request on it is not known for certain, and where the client should ask another router.
var rejectionAnswers = [...]rejectionAnswer{
	reasonUnsupportedVersion: {status: http.StatusHTTPVersionNotSupported, closeConnection: true},
	reasonUnsupportedMethod:  {status: http.StatusNotImplemented, closeConnection: true},
	reasonAmbiguousLength:    {status: http.StatusBadRequest, closeConnection: true},
	reasonHeadTooLarge:       {status: http.StatusRequestHeaderFieldsTooLarge, closeConnection: true},
	reasonInvalidTarget:      {status: http.StatusBadRequest, closeConnection: true},
	reasonInvalidRequestID:   {status: http.StatusBadRequest},
	reasonInvalidDeadline:    {status: http.StatusBadRequest},

	reasonBodyTooLarge:   {status: http.StatusRequestEntityTooLarge, closeConnection: true},
	reasonBodyUnreadable: {status: http.StatusBadRequest, closeConnection: true},
	reasonBodyTimeout:    {status: http.StatusRequestTimeout, closeConnection: true},
	reasonNoBodyMemory: {
		status: http.StatusServiceUnavailable, retryAfter: noMemoryRetryAfter, closeConnection: true,
	},
	reasonNoReadDeadline: {status: http.StatusInternalServerError, closeConnection: true},

	reasonNoConfiguration: {status: http.StatusServiceUnavailable, retryAfter: noConfigurationRetryAfter},
	reasonStaleConfiguration: {
		status: http.StatusServiceUnavailable, retryAfter: staleConfigurationRetryAfter, closeConnection: true,
	},
	reasonUnknownRoute:    {status: http.StatusNotFound},
	reasonUnauthenticated: {status: http.StatusUnauthorized},
	reasonUnknownService:  {status: http.StatusServiceUnavailable},

	reasonShutdown: {
		status: http.StatusServiceUnavailable, retryAfter: shutdownRetryAfter, closeConnection: true,
	},
	reasonQuotaExceeded:  {status: http.StatusTooManyRequests},
	reasonNotDispatched:  {status: http.StatusServiceUnavailable},
	reasonNotRun:         {status: http.StatusServiceUnavailable},
	reasonOutcomeUnknown: {status: http.StatusBadGateway},
	reasonDeadlinePassed: {status: http.StatusGatewayTimeout},
}

// rejection is the router's own answer to one request.
type rejection struct {
	reason     rejectionReason
	retryAfter time.Duration // of the dispatcher; 0: that of the reason
}

// unlessFresh turns a rejection by the configuration into one with a retry where the configuration in force may be out of
// date: another router may know the route or the key, or have larger limits.
func unlessFresh(reason rejectionReason, fresh bool) rejectionReason {
	switch reason {
	case reasonUnknownRoute, reasonUnauthenticated, reasonHeadTooLarge, reasonBodyTooLarge:
		if !fresh {
			return reasonStaleConfiguration
		}
	}
	return reason
}

// reject writes the answer for a rejection.
func (h *Handler) reject(w http.ResponseWriter, rejected rejection) {
	answer := rejectionAnswers[rejected.reason]
	retryAfter := answer.retryAfter
	if rejected.retryAfter > 0 {
		retryAfter = rejected.retryAfter
	}
	header := w.Header()
	header["Content-Type"] = nil // net/http must not guess one
	header["Date"] = nil
	header["Content-Length"] = []string{"0"}
	if retryAfter > 0 {
		header["Retry-After"] = []string{formatSeconds(retryAfter)}
	}
	if answer.closeConnection || h.draining.Load() {
		header["Connection"] = []string{"close"}
	}
	w.WriteHeader(answer.status)
}

// formatSeconds formats a duration as seconds with a fraction, rounded up to milliseconds.
func formatSeconds(d time.Duration) string {
	milliseconds := (d + time.Millisecond - 1) / time.Millisecond
	return strconv.FormatFloat(float64(milliseconds)/1000, 'f', -1, 64)
}
