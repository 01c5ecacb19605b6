package ingress

import (
	"errors"
	"hash/fnv"
	"io"
	"math"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"raventrestle/internal/configuration"
	"raventrestle/internal/router/call"
	"raventrestle/internal/router/dispatch"
)

const (
	notReadyPause  = 500 * time.Millisecond // told to clients before the first configuration
	stepBodyBytes  = 32 << 10               // memory for a body is taken as it comes, not as it is announced
	noRoomPause    = 250 * time.Millisecond // told to clients whose bodies find no memory
	bodyTimeFactor = 4                      // of the header timeout, for a body
	leastBodyTime  = 10 * time.Second
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
	view = h.view.Load() // the body may have taken its time
	a = &admitted{target: target, body: body, arrived: arrived}
	if status := a.look(view, r); status != 0 {
		h.bodies.release(body)
		return nil, refusal{status: status}, false
	}
	return a, refusal{}, true
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

// readBody reads the body whole, by its length or by its chunks.
func (h *Handler) readBody(
	w http.ResponseWriter, r *http.Request, limits configuration.Limits, arrived time.Time,
) (body []byte, no refusal, ok bool) {
	if r.ContentLength == 0 {
		return nil, refusal{}, true
	}
	if r.ContentLength > limits.MaxBodyBytes {
		return nil, refusal{status: http.StatusRequestEntityTooLarge, close: true}, false
	}
	controller := http.NewResponseController(w)
	if err := controller.SetReadDeadline(arrived.Add(bodyTime(limits))); err != nil {
		return nil, refusal{status: http.StatusInternalServerError, close: true}, false
	}
	body, err := readAll(r.Body, r.ContentLength, limits.MaxBodyBytes, &h.bodies)
	switch {
	case err == nil:
		if err := controller.SetReadDeadline(time.Time{}); err != nil {
			return nil, refusal{status: http.StatusInternalServerError, close: true}, false
		}
		return body, refusal{}, true
	case errors.Is(err, errTooLarge):
		return nil, refusal{status: http.StatusRequestEntityTooLarge, close: true}, false
	case errors.Is(err, errNoRoom):
		return nil, refusal{status: http.StatusServiceUnavailable, retryAfter: noRoomPause, close: true}, false
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, refusal{status: http.StatusRequestTimeout, close: true}, false
	}
	return nil, refusal{status: http.StatusBadRequest, close: true}, false
}

func bodyTime(limits configuration.Limits) time.Duration {
	return max(leastBodyTime, bodyTimeFactor*time.Duration(limits.HeaderTimeoutMS)*time.Millisecond)
}

var (
	errTooLarge = errors.New("body is too large")
	errNoRoom   = errors.New("bodies take all memory that they may")
)

// room is the memory that large bodies may take, all together.
type room struct {
	most  int64
	taken atomic.Int64
}

func (r *room) take(bytes int) bool {
	if r.taken.Add(int64(bytes)) <= r.most {
		return true
	}
	r.give(bytes)
	return false
}

func (r *room) give(bytes int) { r.taken.Add(-int64(bytes)) }

// release gives back what readAll took for a body.
func (r *room) release(body []byte) {
	if largeBody(cap(body)) {
		r.give(cap(body))
	}
}

// largeBody says whether a body of that size counts against the room.
func largeBody(bytes int) bool { return bytes > stepBodyBytes }

// readAll reads a body of a stated length, or of any up to most where it is negative. A large one takes its memory from
// the room; whoever uses it gives that back.
func readAll(source io.Reader, length, most int64, memory *room) (body []byte, err error) {
	if length < 0 {
		length = most + 1
	}
	body = make([]byte, 0, min(length, stepBodyBytes))
	defer func() {
		if err != nil {
			memory.release(body)
		}
	}()
	for int64(len(body)) < length {
		if len(body) == cap(body) {
			grown := int(min(length, int64(2*cap(body))))
			if !growInto(memory, cap(body), grown) {
				return body, errNoRoom
			}
			body = append(make([]byte, 0, grown), body...)
		}
		n, err := source.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF {
			break
		}
		if err != nil {
			return body, err
		}
	}
	if int64(len(body)) > most {
		return body, errTooLarge
	}
	return body, nil
}

// growInto takes the memory by which a body grows.
func growInto(memory *room, from, to int) bool {
	if !largeBody(to) {
		return true
	}
	if !largeBody(from) {
		from = 0
	}
	return memory.take(to - from)
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
	if a.service, known = view.Index.Service(serviceFor(a.route, a.requestID)); !known { // a valid configuration names none such
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

// serviceFor chooses one of a route's services by weight, the same for each look at one request.
func serviceFor(route *configuration.Route, requestID string) string {
	if len(route.TrafficSplit) == 0 {
		return route.Backend
	}
	var sum uint64
	for _, split := range route.TrafficSplit {
		sum += uint64(max(0, split.Weight))
	}
	if sum == 0 {
		return route.Backend
	}
	hash := fnv.New64a()
	io.WriteString(hash, requestID)
	point := scramble(hash.Sum64()) % sum
	for _, split := range route.TrafficSplit {
		weight := uint64(max(0, split.Weight))
		if point < weight {
			return split.Backend
		}
		point -= weight
	}
	return route.Backend
}

// scramble spreads the hash over all bits: fnv's low ones follow the last bytes too closely.
func scramble(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}

// parts reads X-Prefix-Hash; what can't be read ends the list.
func parts(stated string) []dispatch.Part {
	if stated == "" {
		return nil
	}
	list := make([]dispatch.Part, 0, 1+strings.Count(stated, ","))
	for item := range strings.SplitSeq(stated, ",") {
		id, size, _ := strings.Cut(strings.TrimSpace(item), ":")
		hash, err := strconv.ParseUint(id, 16, 64)
		if err != nil {
			break
		}
		tokens, err := strconv.Atoi(size)
		if err != nil || tokens < 0 {
			break
		}
		list = append(list, dispatch.Part{Hash: hash, Tokens: tokens})
	}
	return list
}

// usage reads X-Token-Usage.
func usage(stated string) (prompt, output int, ok bool) {
	first, second, ok := strings.Cut(stated, ",")
	if !ok {
		return 0, 0, false
	}
	prompt, err := strconv.Atoi(strings.TrimSpace(first))
	if err != nil || prompt < 0 {
		return 0, 0, false
	}
	output, err = strconv.Atoi(strings.TrimSpace(second))
	if err != nil || output < 0 {
		return 0, 0, false
	}
	return prompt, output, true
}

// request is what dispatch needs to know.
func (a *admitted) request(r *http.Request) dispatch.Request {
	q := dispatch.Request{
		Service:       a.service.Name,
		RoutePriority: a.route.Priority,
		Streaming:     a.route.Type == configuration.Streaming,
		Repeatable:    a.repeatable(),
		Objective:     a.arrived.Add(time.Duration(a.route.TargetLatencyMS) * time.Millisecond),
		Deadline:      a.deadline,
		Arrived:       a.arrived,
		MaxEndpoints:  a.route.MaxRetries,
		Charge:        1,
		Again:         a.again,
	}
	var counted bool
	q.PromptTokens, q.OutputTokens, counted = usage(r.Header.Get("X-Token-Usage"))
	if a.service.Engine != nil {
		q.Model, q.Adapter, _ = strings.Cut(r.Header.Get("X-Model"), "/")
		q.Parts = parts(r.Header.Get("X-Prefix-Hash"))
	}
	if a.tenant == nil {
		return q
	}
	q.Tenant = a.tenant.Name
	q.TenantPriority = a.tenant.Priority
	if a.tenant.Unit == configuration.TokenCount {
		q.Charge = float64(a.tenant.PlainTokens)
		if counted {
			q.Charge = float64(q.PromptTokens + q.OutputTokens)
		}
	}
	return q
}

func (a *admitted) repeatable() bool {
	return a.route.Type == configuration.Idempotent || a.resumable()
}

func (a *admitted) resumable() bool {
	return a.route.Type == configuration.Streaming && a.route.Resumable
}
