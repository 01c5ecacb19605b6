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

// Handler answers the clients' requests.
type Handler struct {
	view       *Holder
	dispatcher *dispatcher.Actor
	dialer     *pool.Dialer
	draining   atomic.Bool
	refusing   chan struct{}   // closed: what is held is refused
	base       context.Context // of all requests; done: calls are cut
	cut        context.CancelFunc
	bodies     room
	losses     Losses
	fresh      func(now time.Time) bool

	leastSilence time.Duration // of an endpoint, before a resumable stream is taken up elsewhere
}

// Losses hears of calls that were sent and brought no whole answer. It must not block.
type Losses interface {
	Lost(endpoint string, err error)
}

// Options are what a handler works with.
type Options struct {
	View       *Holder
	Dispatcher *dispatcher.Actor
	Dialer     *pool.Dialer
	Losses     Losses
	BodyBytes  int64 // memory that large bodies may take, all together
	// Fresh says whether the view in force is known to be young enough for a refusal of what is not in it; nil: always.
	// View must hold a version before Fresh counts it.
	Fresh func(now time.Time) bool
}

// NewHandler returns a handler that works by the view in force.
func NewHandler(o Options) *Handler {
	base, cut := context.WithCancel(context.Background())
	fresh := o.Fresh
	if fresh == nil {
		fresh = func(time.Time) bool { return true }
	}
	return &Handler{
		refusing:     make(chan struct{}),
		base:         base,
		cut:          cut,
		view:         o.View,
		dispatcher:   o.Dispatcher,
		dialer:       o.Dialer,
		losses:       o.Losses,
		fresh:        fresh,
		bodies:       room{most: o.BodyBytes},
		leastSilence: leastSilence,
	}
}

// Drain makes each answer the last one of its connection.
func (h *Handler) Drain() { h.draining.Store(true) }

// RefuseHeld refuses all requests that wait for an endpoint, and those that come, with a promise. It is called once.
func (h *Handler) RefuseHeld() { close(h.refusing) }

func (h *Handler) refusesAll() bool {
	select {
	case <-h.refusing:
		return true
	default:
		return false
	}
}

// CutCalls ends the calls that are out. Clients that have seen nothing of an answer are told so.
func (h *Handler) CutCalls() { h.cut() }

// ServeHTTP answers one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	if h.draining.Load() {
		w.Header()["Connection"] = []string{"close"}
	}
	a, no, ok := h.check(w, r, arrived)
	if !ok {
		h.refuse(w, no)
		return
	}
	defer h.bodies.release(a.body)
	if c := connectionOf(r); c != nil {
		c.Whole()
		if len(r.TransferEncoding) > 0 && c.unseen() {
			w.Header()["Connection"] = []string{"close"}
		}
	}
	tenant := ""
	if a.tenant != nil {
		tenant = a.tenant.Name
	}
	x := &exchange{
		handler:  h,
		w:        w,
		r:        r,
		admitted: a,
		message:  call.NewMessage(r, a.target, a.requestID, tenant, a.body),
		ticket:   h.dispatcher.Submit(a.request(r)),
	}
	x.run()
}
