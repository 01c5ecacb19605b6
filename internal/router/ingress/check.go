package ingress

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"raventrestle/internal/configuration"
	"raventrestle/internal/router/call"
)

const (
	notReadyPause = 500 * time.Millisecond // told to clients before the first configuration
	stalePause    = 200 * time.Millisecond // told to clients that a newer configuration may know: other routers may have it
)

// admitted is a request that passed its checks.
type admitted struct {
	route     *configuration.Route
	service   *configuration.Service
	tenant    *configuration.Tenant // nil where none is known
	target    string                // path and query as the client sent them
	requestID string
	body      []byte
	deadline  time.Time
	arrived   time.Time
	again     bool // its client seems to have tried before
}

// check reads a request whole and checks it. Ok is false where it is refused.
func (h *Handler) check(w http.ResponseWriter, r *http.Request, arrived time.Time) (a *admitted, no refusal, ok bool) {
	view := h.view.Load()
	if view == nil {
		return nil, refusal{status: http.StatusServiceUnavailable, retryAfter: notReadyPause}, false
	}
	if h.refusesAll() {
		return nil, refusal{status: http.StatusServiceUnavailable, retryAfter: elsewherePause, close: true}, false
	}
	if no, bad := malformed(r); bad {
		return nil, no, false
	}
	if headBytes(r) > view.Limits.MaxHeaderBytes {
		return nil, refusal{status: http.StatusRequestHeaderFieldsTooLarge, close: true}, false
	}
	target, ok := originForm(r)
	if !ok {
		return nil, refusal{status: http.StatusBadRequest, close: true}, false
	}
	body, no, ok := h.readBody(w, r, view.Limits, arrived)
	if !ok {
		return nil, no, false
	}
	fresh := h.fresh(time.Now()) // before the view is loaded: a newer one may come in between
	view = h.view.Load()         // the body may have taken its time
	a = &admitted{target: target, body: body, arrived: arrived}
	if status := a.look(view, r); status != 0 {
		h.bodies.release(body)
		return nil, denial(status, fresh), false
	}
	return a, refusal{}, true
}

// denial refuses a request that the view does not allow. Where the view may be out of date, nobody is told that
// something is not there: another router may know it.
func denial(status int, fresh bool) refusal {
	switch status {
	case http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound:
		if !fresh {
			return refusal{status: http.StatusServiceUnavailable, retryAfter: stalePause, close: true}
		}
	}
	return refusal{status: status}
}

// malformed finds requests that are not understood in the same way by everyone.
func malformed(r *http.Request) (refusal, bool) {
	switch {
	case r.ProtoMajor != 1 || r.ProtoMinor != 1:
		return refusal{status: http.StatusHTTPVersionNotSupported, close: true}, true
	case r.Method == http.MethodConnect:
		return refusal{status: http.StatusNotImplemented, close: true}, true
	case len(r.TransferEncoding) > 0 && connectionOf(r).hadLength():
		return refusal{status: http.StatusBadRequest, close: true}, true
	}
	return refusal{}, false
}

// headBytes is about the size of the request's head. The server bounds what it reads, with some bytes of grace.
func headBytes(r *http.Request) int64 {
	size := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + len(": \r\n")
		}
	}
	return int64(size)
}

// originForm is the path with its query, as the client sent it.
func originForm(r *http.Request) (string, bool) {
	target := r.RequestURI
	if strings.HasPrefix(target, "/") {
		return target, true
	}
	_, rest, ok := strings.Cut(target, "://")
	if !ok {
		return "", false
	}
	slash := strings.IndexAny(rest, "/?")
	switch {
	case slash < 0:
		return "/", true
	case rest[slash] == '?':
		return "/" + rest[slash:], true
	}
	return rest[slash:], true
}

// look finds the request's route, tenant and service, and reads its headers. The status is 0 where all is well.
func (a *admitted) look(view *View, r *http.Request) (status int) {
	path, _, _ := strings.Cut(a.target, "?")
	var known bool
	if a.route, known = view.Index.Route(r.Host, path); !known {
		return http.StatusNotFound
	}
	if status := a.lookKey(view, r); status != 0 {
		return status
	}
	ids := r.Header[call.RequestIDHeader]
	if len(ids) != 1 || ids[0] == "" {
		return http.StatusBadRequest
	}
	a.requestID = ids[0]
	within, ok := clientPatience(r)
	if !ok {
		return http.StatusBadRequest
	}
	timeout := time.Duration(a.route.TimeoutMS) * time.Millisecond
	a.deadline = a.arrived.Add(min(within, timeout))
	a.again = view.again(a.route, min(within, timeout))
	// A valid configuration names no service that is not there.
	if a.service, known = view.Index.Service(serviceFor(a.route, a.requestID)); !known {
		return http.StatusServiceUnavailable
	}
	return 0
}

func (a *admitted) lookKey(view *View, r *http.Request) (status int) {
	keys := r.Header[call.KeyHeader]
	known := false
	if len(keys) == 1 {
		a.tenant, known = view.Index.Tenant(keys[0])
	}
	if view.Tenants && !a.route.Public && !known {
		return http.StatusUnauthorized
	}
	return 0
}

// clientPatience is how long the client waits, without end where it does not say.
func clientPatience(r *http.Request) (time.Duration, bool) {
	stated := r.Header.Get(call.DeadlineHeader)
	if stated == "" {
		return math.MaxInt64, true
	}
	milliseconds, err := strconv.ParseFloat(strings.TrimSpace(stated), 64)
	if err != nil || !(milliseconds >= 0) {
		return 0, false
	}
	if milliseconds > math.MaxInt32 {
		return math.MaxInt64, true
	}
	return time.Duration(milliseconds * float64(time.Millisecond)), true
}
