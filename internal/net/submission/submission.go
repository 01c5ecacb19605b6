// Package submission serves the clients' requests that submit messages. Requests go through a reverse proxy, whose
// transport (RoundTrip) passes the message to the courier instead of sending the request anywhere.
package submission

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net/http"
	"net/http/httputil"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"raventrestle/internal/config"
	"raventrestle/internal/journal"
	"raventrestle/internal/net/connlimit"
	"raventrestle/internal/net/sock"
	"raventrestle/internal/stats"
)

// Errors of Courier.Take: the message was accepted before, or the endpoint list does not name its destination.
var (
	ErrDuplicate   = errors.New("message already accepted")
	ErrUnknownDest = errors.New("destination not in the endpoint list")
)

// Courier accepts messages for delivery.
type Courier interface {
	Take(*journal.Message) error // writes it into the journal; Admit or Withdraw must follow
	Admit(m *journal.Message, resubmitted, orphaned bool)
	Withdraw(*journal.Message)
}

// ConnTimeouts say how long client connections are kept when others need their slots.
var ConnTimeouts = connlimit.Timeouts{Request: 400 * time.Millisecond}

// Counts are counters of the client requests.
type Counts struct {
	Requests, Accepted, Rejected, Malformed, TooLarge, ClientLeft atomic.Int64
}

// Handler is the HTTP handler for client connections.
type Handler struct {
	Counts   Counts
	courier  Courier
	names    atomic.Pointer[config.Names]
	proxy    *httputil.ReverseProxy
	log      *slog.Logger
	draining atomic.Bool
	closing  atomic.Bool
	metrics  *stats.Stats
}

const (
	maxBody       = 64 << 10
	answerTimeout = 300 * time.Millisecond // how long a client waits for an answer, less the answer's time in transit
	maxTokenLen   = 128                    // maximum length of an id or key in bytes

	maxStall = 5 * time.Second // maximum age of a request; a process that stalled may read it this late
)

// New returns a handler that passes messages to the courier.
func New(c Courier, names *config.Names, metrics *stats.Stats, log *slog.Logger) *Handler {
	h := &Handler{courier: c, log: log, metrics: metrics}
	h.SetNames(names)
	h.proxy = &httputil.ReverseProxy{
		Transport: h, Rewrite: func(*httputil.ProxyRequest) {},
		ErrorHandler: h.handleError, ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelWarn),
	}
	return h
}

// SetNames sets the accepted classes and tenants. The courier must know them already.
func (h *Handler) SetNames(names *config.Names) { h.names.Store(names) }

// Drain makes the handler reject all messages (on) or accept them again.
func (h *Handler) Drain(on bool) { h.draining.Store(on) }

// CloseConnections closes each connection after its next answer. Messages on it are still accepted.
func (h *Handler) CloseConnections() { h.closing.Store(true) }

// pendingRequest is the state of a request, passed through its context.
type pendingRequest struct {
	conn                  *connlimit.Conn
	receivedAt            time.Time        // when the request arrived at the socket
	msg                   *journal.Message // set once the journal has it
	resubmitted, orphaned bool
}

type pendingRequestKey struct{}

// ServeHTTP answers a request. A message is admitted only after its 202 has been written to a client that is still
// connected; otherwise it is withdrawn.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	draining := h.draining.Load()
	if draining || h.closing.Load() {
		w.Header().Set("Connection", "close")
	}
	switch {
	case r.URL.Path == "/healthz" && draining:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case r.URL.Path == "/healthz":
		w.WriteHeader(http.StatusOK)
		return
	case r.Method != http.MethodPost:
		http.Error(w, "hand messages in by POST", http.StatusMethodNotAllowed)
		return
	}
	h.Counts.Requests.Add(1)
	pending := &pendingRequest{receivedAt: time.Now()}
	if pending.conn = connlimit.FromContext(r.Context()); pending.conn != nil {
		pending.receivedAt = pending.receivedAt.Add(-min(sock.Age(pending.conn), maxStall)) // it may have waited in the socket
	}
	admitted := false
	defer func() {
		panicValue := recover() // a panic fails this request only, which is still answered
		if pending.msg != nil && !admitted {
			h.courier.Withdraw(pending.msg)
		}
		switch panicValue {
		case nil:
		case http.ErrAbortHandler: // writing to the client failed
			panic(panicValue)
		default:
			h.log.Error("submission: panic in a request", "panic", fmt.Sprint(panicValue))
			http.Error(w, "a fault of the courier", http.StatusServiceUnavailable)
		}
	}()
	h.proxy.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), pendingRequestKey{}, pending)))
	if pending.msg == nil {
		return
	}
	// A client may close as soon as it has its 202, so only an error of the write shows that it left before.
	if err := http.NewResponseController(w).Flush(); err != nil {
		h.Counts.ClientLeft.Add(1)
		return
	}
	admitted = true
	h.Counts.Accepted.Add(1)
	h.courier.Admit(pending.msg, pending.resubmitted, pending.orphaned)
}

// requestError reports a request that is not a valid message.
type requestError struct {
	code   int
	reason string
}

func (e *requestError) Error() string { return e.reason }

// RoundTrip passes the message to the courier and returns the answer, without sending the request anywhere.
func (h *Handler) RoundTrip(r *http.Request) (*http.Response, error) {
	pending := r.Context().Value(pendingRequestKey{}).(*pendingRequest)
	m, err := h.message(r, pending)
	if err != nil {
		return nil, err
	}
	if pending.conn != nil {
		pending.conn.RequestRead()
	}
	if h.draining.Load() || m.ExpiresAt <= time.Now().UnixNano() {
		return h.reject(r, m), nil
	}
	switch err := h.courier.Take(m); {
	case errors.Is(err, ErrDuplicate): // the client repeated it over another connection
		return h.answer(r, http.StatusAccepted), nil
	case err != nil:
		h.log.Debug("submission: rejected", "id", m.ID, "err", err)
		return h.reject(r, m), nil
	}
	if r.Context().Err() != nil || !pending.clientConnected() || time.Since(pending.receivedAt) > answerTimeout {
		h.Counts.ClientLeft.Add(1)
		h.courier.Withdraw(m)
		return h.answer(r, http.StatusServiceUnavailable), nil
	}
	pending.msg = m
	return h.answer(r, http.StatusAccepted), nil
}

// clientConnected checks the connection itself. After a stall of the process, a request may be read whose client has left
// long ago, and the server only notices this some time later.
func (pending *pendingRequest) clientConnected() bool {
	if pending.conn == nil {
		return true
	}
	open, _ := sock.Peek(pending.conn)
	return open
}

// reject answers 503 for a message that is not accepted.
func (h *Handler) reject(r *http.Request, m *journal.Message) *http.Response {
	h.metrics.Class(m.Class).Rejected.Add(1)
	return h.answer(r, http.StatusServiceUnavailable)
}

func (h *Handler) answer(r *http.Request, code int) *http.Response {
	if code != http.StatusAccepted {
		h.Counts.Rejected.Add(1)
	}
	return &http.Response{
		StatusCode: code, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: http.Header{"Content-Length": {"0"}}, Body: http.NoBody, Request: r,
	}
}

// handleError answers a request that RoundTrip failed for.
func (h *Handler) handleError(w http.ResponseWriter, r *http.Request, err error) {
	var reqErr *requestError
	if !errors.As(err, &reqErr) {
		reqErr = &requestError{http.StatusServiceUnavailable, err.Error()}
	}
	switch reqErr.code {
	case http.StatusBadRequest:
		h.Counts.Malformed.Add(1)
	case http.StatusRequestEntityTooLarge:
		h.Counts.TooLarge.Add(1)
	default:
		h.Counts.Rejected.Add(1)
	}
	h.log.Debug("submission: invalid request", "code", reqErr.code, "why", reqErr.reason)
	if reqErr.code != http.StatusServiceUnavailable { // the rest of the connection may be part of this request
		w.Header().Set("Connection", "close")
	}
	http.Error(w, reqErr.reason, reqErr.code)
}

// message reads the message from a request.
func (h *Handler) message(r *http.Request, pending *pendingRequest) (*journal.Message, error) {
	badRequest := func(reason string) (*journal.Message, error) {
		return nil, &requestError{http.StatusBadRequest, reason}
	}
	switch { // forms that could smuggle a second request are not read at all
	case !r.ProtoAtLeast(1, 1):
		return nil, &requestError{http.StatusHTTPVersionNotSupported, "messages come by HTTP/1.1"}
	case len(r.TransferEncoding) > 0 || r.ContentLength < 0:
		return nil, &requestError{http.StatusLengthRequired, "a body has its Content-Length and no other encoding"}
	case r.ContentLength > maxBody:
		return nil, &requestError{http.StatusRequestEntityTooLarge, "a body holds 64 KiB at most"}
	}
	class, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	m := &journal.Message{
		ID: r.Header.Get("X-Txn"), Key: r.Header.Get("Idempotency-Key"), Class: class,
		Tenant: r.Header.Get("X-Org"), AcceptedAt: pending.receivedAt.UnixNano(),
	}
	names := h.names.Load()
	if _, ok := names.Classes[class]; !ok {
		return badRequest("no such class")
	}
	if !validToken(m.ID) {
		return badRequest("X-Txn is missing or malformed")
	}
	if m.Key != "" && !validToken(m.Key) {
		return badRequest("Idempotency-Key is malformed")
	}
	m.ClassTerms = names.Terms[class]
	if m.Key == "" && names.Keyed[class] {
		return badRequest("Idempotency-Key is missing")
	}
	if _, ok := names.Tenants[m.Tenant]; !ok && len(names.Tenants) > 0 {
		return badRequest("no such tenant")
	}
	remaining, err := strconv.ParseFloat(r.Header.Get("X-Remaining"), 64)
	if err != nil || math.IsNaN(remaining) || math.Abs(remaining) > 1e6 {
		return badRequest("X-Remaining is missing or malformed")
	}
	m.ExpiresAt = pending.receivedAt.Add(time.Duration(remaining * float64(time.Second))).UnixNano()
	dest, ok := listField(r.Header.Get("X-Consignee"), "dest")
	if m.Dest, err = strconv.ParseInt(dest, 10, 64); !ok || err != nil {
		return badRequest("X-Consignee names no dest")
	}
	switch r.Header.Get("X-Resent") {
	case "":
	case "again":
		pending.orphaned = true
	default:
		pending.resubmitted = true
	}
	if r.Body == nil { // the proxy sets it to nil for an empty body
		return m, nil
	}
	if m.Body, err = io.ReadAll(r.Body); err != nil { // no buffer of the claimed length, which a client may set without sending as much
		return badRequest("the body broke off")
	}
	return m, nil
}

// validToken reports whether the text fits a line of a call: visible ASCII of at most maxTokenLen bytes.
func validToken(s string) bool {
	return s != "" && len(s) <= maxTokenLen && strings.IndexFunc(s, func(c rune) bool { return c <= ' ' || c > '~' }) < 0
}

// listField returns the value of a name in a list such as "dest=7; lane=2".
func listField(list, name string) (string, bool) {
	for _, part := range strings.FieldsFunc(list, func(c rune) bool { return c == ';' || c == ',' || c == '&' }) {
		if k, v, ok := strings.Cut(strings.TrimSpace(part), "="); ok && k == name {
			return strings.TrimSpace(v), true
		}
	}
	return "", false
}
