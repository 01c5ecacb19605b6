package ingress

import (
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

	leastSilence time.Duration // of an endpoint, before a resumable stream is taken up elsewhere
}

// NewHandler returns a handler that works by the view in force.
func NewHandler(view *Holder, actor *dispatcher.Actor, dialer *pool.Dialer) *Handler {
	return &Handler{view: view, dispatcher: actor, dialer: dialer, leastSilence: leastSilence}
}

// Drain makes each answer the last one of its connection.
func (h *Handler) Drain() { h.draining.Store(true) }

// ServeHTTP answers one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	if h.draining.Load() {
		w.Header()["Connection"] = []string{"close"}
	}
	a, no, ok := h.check(w, r, arrived)
	if !ok {
		refuse(w, no)
		return
	}
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
		ticket:   h.dispatcher.Arrive(a.request(r)),
	}
	x.run()
}
