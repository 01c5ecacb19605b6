// Package front is the clients' side: it reads what they submit and answers them. A reverse
// proxy takes each request, and its RoundTripper is the courier's taking it on.
package front

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
	"raventrestle/internal/net/gate"
	"raventrestle/internal/net/sock"
	"raventrestle/internal/stats"
)

// Take's word that the message was let in before, or that it is for no destination of the list.
var (
	ErrKnown  = errors.New("taken on before")
	ErrNoDest = errors.New("no such destination")
)

// Courier is what takes messages on.
type Courier interface {
	Take(*journal.Message) error // write it down
	Admit(m *journal.Message, again, orphan bool)
	Withdraw(*journal.Message)
}

// Room is how long client connections are left alone where others want their room.
var Room = gate.Limits{Busy: 400 * time.Millisecond}

// Counts are what the client connections brought.
type Counts struct {
	Requests, Taken, Refused, BadForm, TooLarge, Left atomic.Int64
}

// Front is the handler of the client connections.
type Front struct {
	Counts   Counts
	courier  Courier
	names    atomic.Pointer[config.Names]
	proxy    *httputil.ReverseProxy
	log      *slog.Logger
	draining atomic.Bool
	leaving  atomic.Bool
	figures  *stats.Stats
}

const (
	mostBody = 64 << 10
	patience = 300 * time.Millisecond // of a client, less what the answer's way may take
	mostText = 128                    // bytes of an id or key

	longestStall = 5 * time.Second // of the process, over which a request's age is believed
)

// New returns the handler.
func New(c Courier, names *config.Names, counters *stats.Stats, log *slog.Logger) *Front {
	f := &Front{courier: c, log: log, figures: counters}
	f.Serve(names)
	f.proxy = &httputil.ReverseProxy{
		Transport: f, Rewrite: func(*httputil.ProxyRequest) {},
		ErrorHandler: f.failed, ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelWarn),
	}
	return f
}

// Serve takes messages of these classes and tenants from now on, once the courier knows them.
func (f *Front) Serve(names *config.Names) { f.names.Store(names) }

// Drain refuses all that comes from now on, or takes it on again.
func (f *Front) Drain(on bool) { f.draining.Store(on) }

// Leave closes each connection behind its next answer; what comes on it is taken on all the same.
func (f *Front) Leave() { f.leaving.Store(true) }

// submission is the request context's part of a message that is submitted.
type submission struct {
	conn          *gate.Conn
	began         time.Time        // when the request came
	msg           *journal.Message // set once it is written down
	again, orphan bool
}

type submissionKey struct{}

// ServeHTTP answers a request. A message is let in only once its 202 is written to a client
// that is still there; else it is withdrawn.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	draining := f.draining.Load()
	if draining || f.leaving.Load() {
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
	f.Counts.Requests.Add(1)
	in := &submission{began: time.Now()}
	if in.conn = gate.Of(r.Context()); in.conn != nil {
		in.began = in.began.Add(-min(sock.Age(in.conn), longestStall)) // it may have waited to be read
	}
	settled := false
	defer func() {
		fault := recover() // it stays with this request, which is answered all the same
		if in.msg != nil && !settled {
			f.courier.Withdraw(in.msg)
		}
		switch fault {
		case nil:
		case http.ErrAbortHandler: // the client's end broke
			panic(fault)
		default:
			f.log.Error("front: request broke", "panic", fmt.Sprint(fault))
			http.Error(w, "a fault of the courier", http.StatusServiceUnavailable)
		}
	}()
	f.proxy.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), submissionKey{}, in)))
	if in.msg == nil {
		return
	}
	// A client that has its 202 may leave at once: only the write's own error tells that it left before.
	if err := http.NewResponseController(w).Flush(); err != nil {
		f.Counts.Left.Add(1)
		return
	}
	settled = true
	f.Counts.Taken.Add(1)
	f.courier.Admit(in.msg, in.again, in.orphan)
}

// formError is a request that can't be read as a message.
type formError struct {
	code int
	why  string
}

func (e *formError) Error() string { return e.why }

// RoundTrip takes the message on instead of sending the request anywhere.
func (f *Front) RoundTrip(r *http.Request) (*http.Response, error) {
	in := r.Context().Value(submissionKey{}).(*submission)
	m, err := f.message(r, in)
	if err != nil {
		return nil, err
	}
	if in.conn != nil {
		in.conn.Whole()
	}
	if f.draining.Load() || m.Until <= time.Now().UnixNano() {
		return f.refuse(r, m), nil
	}
	switch err := f.courier.Take(m); {
	case errors.Is(err, ErrKnown): // submitted once more over another connection
		return f.answer(r, http.StatusAccepted), nil
	case err != nil:
		f.log.Debug("front: refused", "id", m.ID, "err", err)
		return f.refuse(r, m), nil
	}
	if r.Context().Err() != nil || !in.stays() || time.Since(in.began) > patience {
		f.Counts.Left.Add(1)
		f.courier.Withdraw(m)
		return f.answer(r, http.StatusServiceUnavailable), nil
	}
	in.msg = m
	return f.answer(r, http.StatusAccepted), nil
}

// stays looks at the connection itself: after a stall of the process a request may be read whose
// client left long ago, and the server hears of that only some time after.
func (in *submission) stays() bool {
	if in.conn == nil {
		return true
	}
	open, _ := sock.Look(in.conn)
	return open
}

// refuse answers for a message that is not taken on.
func (f *Front) refuse(r *http.Request, m *journal.Message) *http.Response {
	f.figures.Class(m.Class).Rejected.Add(1)
	return f.answer(r, http.StatusServiceUnavailable)
}

func (f *Front) answer(r *http.Request, code int) *http.Response {
	if code != http.StatusAccepted {
		f.Counts.Refused.Add(1)
	}
	return &http.Response{
		StatusCode: code, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: http.Header{"Content-Length": {"0"}}, Body: http.NoBody, Request: r,
	}
}

// failed answers for what could not be taken on.
func (f *Front) failed(w http.ResponseWriter, r *http.Request, err error) {
	var form *formError
	if !errors.As(err, &form) {
		form = &formError{http.StatusServiceUnavailable, err.Error()}
	}
	switch form.code {
	case http.StatusBadRequest:
		f.Counts.BadForm.Add(1)
	case http.StatusRequestEntityTooLarge:
		f.Counts.TooLarge.Add(1)
	default:
		f.Counts.Refused.Add(1)
	}
	f.log.Debug("front: not a message", "code", form.code, "why", form.why)
	if form.code != http.StatusServiceUnavailable { // what follows on the connection may be no request
		w.Header().Set("Connection", "close")
	}
	http.Error(w, form.why, form.code)
}

// message takes out of a request what the courier needs of it; the rest stays as it came.
func (f *Front) message(r *http.Request, in *submission) (*journal.Message, error) {
	bad := func(why string) (*journal.Message, error) { return nil, &formError{http.StatusBadRequest, why} }
	switch { // what could hide another request is not read at all
	case !r.ProtoAtLeast(1, 1):
		return nil, &formError{http.StatusHTTPVersionNotSupported, "messages come by HTTP/1.1"}
	case len(r.TransferEncoding) > 0 || r.ContentLength < 0:
		return nil, &formError{http.StatusLengthRequired, "a body has its Content-Length and no other encoding"}
	case r.ContentLength > mostBody:
		return nil, &formError{http.StatusRequestEntityTooLarge, "a body holds 64 KiB at most"}
	}
	class, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	m := &journal.Message{
		ID: r.Header.Get("X-Txn"), Key: r.Header.Get("Idempotency-Key"), Class: class,
		Tenant: r.Header.Get("X-Org"), Since: in.began.UnixNano(),
	}
	names := f.names.Load()
	if _, ok := names.Classes[class]; !ok {
		return bad("no such class")
	}
	if !word(m.ID) {
		return bad("X-Txn is missing or malformed")
	}
	if m.Key != "" && !word(m.Key) {
		return bad("Idempotency-Key is malformed")
	}
	m.Terms = names.Terms[class]
	if m.Key == "" && names.Keyed[class] {
		return bad("Idempotency-Key is missing")
	}
	if _, ok := names.Tenants[m.Tenant]; !ok && len(names.Tenants) > 0 {
		return bad("no such tenant")
	}
	left, err := strconv.ParseFloat(r.Header.Get("X-Remaining"), 64)
	if err != nil || math.IsNaN(left) || math.Abs(left) > 1e6 {
		return bad("X-Remaining is missing or malformed")
	}
	m.Until = in.began.Add(time.Duration(left * float64(time.Second))).UnixNano()
	dest, ok := field(r.Header.Get("X-Consignee"), "dest")
	if m.Dest, err = strconv.ParseInt(dest, 10, 64); !ok || err != nil {
		return bad("X-Consignee names no dest")
	}
	switch r.Header.Get("X-Resent") {
	case "":
	case "again":
		in.orphan = true
	default:
		in.again = true
	}
	if r.Body == nil { // as the proxy has it for an empty one
		return m, nil
	}
	if m.Body, err = io.ReadAll(r.Body); err != nil { // as it comes: a length is soon claimed
		return bad("the body broke off")
	}
	return m, nil
}

// word says whether the text fits a line of a call: visible ASCII, not too long.
func word(s string) bool {
	return s != "" && len(s) <= mostText && strings.IndexFunc(s, func(c rune) bool { return c <= ' ' || c > '~' }) < 0
}

// field is the value of a name in a list such as "dest=7; lane=2".
func field(list, name string) (string, bool) {
	for _, part := range strings.FieldsFunc(list, func(c rune) bool { return c == ';' || c == ',' || c == '&' }) {
		if k, v, ok := strings.Cut(strings.TrimSpace(part), "="); ok && k == name {
			return strings.TrimSpace(v), true
		}
	}
	return "", false
}
