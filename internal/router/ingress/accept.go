package ingress

import (
	"net/http"
	"time"

	"raventrestle/internal/configuration"
)

// acceptedRequest is a complete request that passed all checks.
type acceptedRequest struct {
	route       *configuration.Route
	service     *configuration.Service
	tenant      *configuration.Tenant // nil if the request has no valid key, which only public routes allow
	target      string                // path and query as the client sent them
	requestID   string
	body        []byte // its memory is released with Handler.bodyMemory
	deadline    time.Time
	arrivedAt   time.Time
	clientRetry bool // the client seems to have sent it before
}

// accept reads a request to its end and checks it. It returns nil and the rejection if the request is not forwarded.
//
// A request whose end may be understood differently by the endpoint is rejected before its body is read. The view is
// loaded again behind the body, which may take seconds. Freshness is asked before that: a newer view that comes in
// between can only make the answer better.
func (h *Handler) accept(w http.ResponseWriter, r *http.Request, arrivedAt time.Time) (*acceptedRequest, *rejection) {
	view := h.view.Load()
	if view == nil {
		return nil, &rejection{reason: reasonNoConfiguration}
	}
	if h.rejectsAll() {
		return nil, &rejection{reason: reasonShutdown}
	}
	limits := connectionOf(r).requestLimits(view)
	target, rejected := checkSyntax(r, limits.MaxHeaderBytes)
	if rejected != nil {
		return nil, h.unlessStale(rejected)
	}
	body, rejected := h.readBody(w, r, limits, arrivedAt)
	if rejected != nil {
		return nil, h.unlessStale(rejected)
	}
	fresh := h.fresh(time.Now())
	view = h.view.Load()
	accepted := &acceptedRequest{target: target, body: body, arrivedAt: arrivedAt}
	if rejected := accepted.lookUp(view, r); rejected != nil {
		h.bodyMemory.release(body)
		rejected.reason = unlessFresh(rejected.reason, fresh)
		return nil, rejected
	}
	return accepted, nil
}

// unlessStale returns the rejection, or one with a retry where a newer configuration may allow the request.
func (h *Handler) unlessStale(rejected *rejection) *rejection {
	rejected.reason = unlessFresh(rejected.reason, h.fresh(time.Now()))
	return rejected
}

// retryable reports whether the request may be sent to another endpoint although it may have run.
func (a *acceptedRequest) retryable() bool {
	return a.route.Type == configuration.Idempotent || a.resumable()
}

// resumable reports whether the answer is a stream that another endpoint can continue.
func (a *acceptedRequest) resumable() bool {
	return a.route.Type == configuration.Streaming && a.route.Resumable
}
