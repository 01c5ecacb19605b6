package ingress

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"raventrestle/internal/router/call"
	"raventrestle/internal/router/dispatcher"
	"raventrestle/internal/router/pool"
)

// Handler answers the clients' requests. Its methods are safe for concurrent use.
type Handler struct {
	view       *CurrentView
	dispatcher *dispatcher.Actor
	dialer     *pool.Dialer
	events     EventRecorder
	fresh      func(now time.Time) bool
	bodyMemory memoryBudget

	draining  atomic.Bool
	rejecting chan struct{}      // closed: pending requests are rejected
	base      context.Context    // of all requests; done: attempts are interrupted
	interrupt context.CancelFunc // ends base

	minEventGapTimeout time.Duration
}

// EventRecorder records what an operator should know. Its methods must not block.
type EventRecorder interface {
	// AnswerLost records an attempt that was sent to an endpoint and brought no complete answer.
	AnswerLost(endpoint string, err error)
}

// Config holds the values that a Handler is configured with.
type Config struct {
	MaxBodyMemory int64 // bytes that large bodies may use, all together
}

// Dependencies are the collaborators of a Handler.
type Dependencies struct {
	View       *CurrentView
	Dispatcher *dispatcher.Actor
	Dialer     *pool.Dialer
	Events     EventRecorder
	// Fresh reports whether the view in force is known to be recent enough to answer a client that a route or a key does
	// not exist. View must hold a version before Fresh counts it. Nil: always.
	Fresh func(now time.Time) bool
}

// NewHandler returns a handler that handles requests by the view in force.
func NewHandler(config Config, dependencies Dependencies) *Handler {
	base, interrupt := context.WithCancel(context.Background())
	fresh := dependencies.Fresh
	if fresh == nil {
		fresh = func(time.Time) bool { return true }
	}
	return &Handler{
		view:               dependencies.View,
		dispatcher:         dependencies.Dispatcher,
		dialer:             dependencies.Dialer,
		events:             dependencies.Events,
		fresh:              fresh,
		bodyMemory:         memoryBudget{maxBytes: config.MaxBodyMemory},
		rejecting:          make(chan struct{}),
		base:               base,
		interrupt:          interrupt,
		minEventGapTimeout: minEventGapTimeout,
	}
}

// Drain makes every further answer the last one on its connection.
func (h *Handler) Drain() { h.draining.Store(true) }

// RejectPending rejects the requests that wait for an endpoint, and all new ones, with a Retry-After. It must be called
// at most once.
func (h *Handler) RejectPending() { close(h.rejecting) }

func (h *Handler) rejectsAll() bool {
	select {
	case <-h.rejecting:
		return true
	default:
		return false
	}
}

// InterruptAttempts ends the attempts in flight. A client that has not seen the head of its answer gets a 502, other
// answers break off.
func (h *Handler) InterruptAttempts() { h.interrupt() }

// ServeHTTP answers one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrivedAt := time.Now()
	if h.draining.Load() {
		w.Header()["Connection"] = []string{"close"}
	}
	accepted, rejected := h.accept(w, r, arrivedAt)
	if rejected != nil {
		h.reject(w, *rejected)
		return
	}
	defer h.bodyMemory.release(accepted.body)
	h.onRequestComplete(w, r)
	tenant := ""
	if accepted.tenant != nil {
		tenant = accepted.tenant.Name
	}
	request := &proxiedRequest{
		acceptedRequest: accepted,
		handler:         h,
		w:               w,
		r:               r,
		message:         call.NewMessage(r, accepted.target, accepted.requestID, tenant, accepted.body),
		ticket:          h.dispatcher.Submit(accepted.dispatchRequest(r.Header)),
	}
	request.forward()
}

// onRequestComplete notes that a request was read to its end: its connection is not closed to admit another one any more. A
// request in chunks whose head was not scanned is the last one of its connection, as its end may be ambiguous.
func (h *Handler) onRequestComplete(w http.ResponseWriter, r *http.Request) {
	c := connectionOf(r)
	if c == nil {
		return
	}
	c.RequestRead()
	if len(r.TransferEncoding) > 0 && c.headUnscanned() {
		w.Header()["Connection"] = []string{"close"}
	}
}
