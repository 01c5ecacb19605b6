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

// lookUp finds the request's route, tenant and service in a view and reads its id and deadline. It returns nil if all
// are there.
func (a *acceptedRequest) lookUp(view *View, r *http.Request) *rejection {
	path, _, _ := strings.Cut(a.target, "?")
	var known bool
	if a.route, known = view.Index.Route(r.Host, path); !known {
		return &rejection{reason: reasonUnknownRoute}
	}
	var authenticated bool
	a.tenant, authenticated = authenticate(view, r)
	if view.AuthenticationRequired && !a.route.Public && !authenticated {
		return &rejection{reason: reasonUnauthenticated}
	}
	ids := r.Header[call.RequestIDHeader]
	if len(ids) != 1 || ids[0] == "" {
		return &rejection{reason: reasonInvalidRequestID}
	}
	a.requestID = ids[0]
	stated, ok := clientTimeout(r)
	if !ok {
		return &rejection{reason: reasonInvalidDeadline}
	}
	timeout := min(stated, time.Duration(a.route.TimeoutMS)*time.Millisecond)
	a.deadline = a.arrivedAt.Add(timeout)
	a.clientRetry = view.isClientRetry(a.route, timeout)
	// A valid configuration names no service that is not there.
	if a.service, known = view.Index.Service(serviceFor(a.route, a.requestID)); !known {
		return &rejection{reason: reasonUnknownService}
	}
	return nil
}

// authenticate returns the tenant whose key the request states. A request with several keys has no tenant.
func authenticate(view *View, r *http.Request) (*configuration.Tenant, bool) {
	keys := r.Header[call.KeyHeader]
	if len(keys) != 1 {
		return nil, false
	}
	return view.Index.Tenant(keys[0])
}

// clientTimeout returns how long the client waits, from the arrival of the request; the longest duration if it states
// nothing. It returns false if what it states is not a number of milliseconds.
func clientTimeout(r *http.Request) (time.Duration, bool) {
	stated := r.Header.Get(call.DeadlineHeader)
	if stated == "" {
		return math.MaxInt64, true
	}
	milliseconds, err := strconv.ParseFloat(strings.TrimSpace(stated), 64)
	if err != nil || !(milliseconds >= 0) { // NaN is no number of milliseconds
		return 0, false
	}
	if milliseconds > math.MaxInt32 {
		return math.MaxInt64, true
	}
	return time.Duration(milliseconds * float64(time.Millisecond)), true
}
