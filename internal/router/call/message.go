// Package call makes one attempt of a request at one endpoint. The request is framed anew (RFC 9112), so that nothing a
// client sends can change where it ends, and the answer's head is checked to belong to it. Nothing is retried here;
// an Error says how far the attempt got and thus whether the request may have run.
package call

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"raventrestle/internal/router/pool"
)

// Names of headers that concern the system.
const (
	RequestIDHeader   = "X-Request-Id"
	SignatureHeader   = "X-Response-Signature"
	NotExecutedHeader = "X-Not-Executed"
	LastEventHeader   = "Last-Event-Id"
	KeyHeader         = "Api-Key"
	TenantHeader      = "X-Tenant"
	DeadlineHeader    = "X-Deadline-Ms"
	expectedHeader    = "X-Expected-Instance"
	priorityHeader    = "Priority"
	loadHeader        = "X-Instance-Load"
)

const (
	joinedBodyBytes  = 16 << 10 // a body up to this size is copied behind the head, so that one write sends both
	attemptHeadBytes = 256      // of the headers that an attempt adds
)

// Message is a client's request as it goes to endpoints.
type Message struct {
	Method    string
	RequestID string
	Body      []byte
	head      []byte // request line and the headers that all attempts share
	lastEvent string // as the client sent it
}

// connectionHeaders concern one connection only (RFC 9110, section 7.6.1), or are set anew for each attempt.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect", "Content-Length", "Host",
}

var ownHeaders = []string{
	KeyHeader, TenantHeader, DeadlineHeader, RequestIDHeader, LastEventHeader, expectedHeader, priorityHeader,
}

// NewMessage frames a client's request. Target is the path with its query as the client sent it; tenant is empty for
// none.
func NewMessage(r *http.Request, target, requestID, tenant string, body []byte) *Message {
	m := &Message{Method: r.Method, RequestID: requestID, Body: body, lastEvent: r.Header.Get(LastEventHeader)}
	h := make([]byte, 0, headSize(r, target))
	h = append(h, r.Method...)
	h = append(h, ' ')
	h = append(h, target...)
	h = append(h, " HTTP/1.1\r\n"...)
	h = appendHeader(h, "Host", r.Host)
	h = appendHeader(h, RequestIDHeader, requestID)
	if tenant != "" {
		h = appendHeader(h, TenantHeader, tenant)
	}
	if len(body) > 0 || sendsLength(r.Method) {
		h = appendHeader(h, "Content-Length", strconv.Itoa(len(body)))
	}
	named := r.Header["Connection"]
	for name, values := range r.Header {
		if OneConnectionOnly(name, named) || slices.Contains(ownHeaders, name) {
			continue
		}
		for _, value := range values {
			h = appendHeader(h, name, value)
		}
	}
	m.head = h
	return m
}

func headSize(r *http.Request, target string) int {
	size := len(r.Method) + len(target) + len(r.Host) + attemptHeadBytes
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + len(": \r\n")
		}
	}
	return size
}

// sendsLength names the methods whose requests state a length of 0.
func sendsLength(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// OneConnectionOnly says whether a header concerns only the connection that it came on; named are the values of that
// connection's Connection headers.
func OneConnectionOnly(name string, named []string) bool {
	if slices.Contains(connectionHeaders, name) {
		return true
	}
	for _, value := range named {
		for token := range strings.SplitSeq(value, ",") {
			if strings.EqualFold(strings.TrimSpace(token), name) {
				return true
			}
		}
	}
	return false
}

func appendHeader(b []byte, name, value string) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}

// Attempt is what differs between the attempts of one request.
type Attempt struct {
	Endpoint  string
	Priority  int
	Deadline  time.Time
	LastEvent string // the id of the last event that was passed on, empty for none
}

// Write sends the request on a connection.
func (m *Message) Write(c *pool.Connection, attempt Attempt, now time.Time) error {
	left := attempt.Deadline.Sub(now).Milliseconds()
	if left <= 0 {
		return &Error{Step: Writing, Peer: c.Endpoint, Err: ErrNoTime}
	}
	size := len(m.head) + attemptHeadBytes
	if m.joined() {
		size += len(m.Body)
	}
	b := make([]byte, 0, size)
	b = append(b, m.head...)
	b = appendHeader(b, DeadlineHeader, strconv.FormatInt(left, 10))
	b = appendHeader(b, expectedHeader, attempt.Endpoint)
	b = appendHeader(b, priorityHeader, strconv.Itoa(attempt.Priority))
	if last := m.lastEventFor(attempt); last != "" {
		b = appendHeader(b, LastEventHeader, last)
	}
	b = append(b, "\r\n"...)
	c.RecordRequest(m.RequestID)
	written, err := m.send(c, b)
	if err != nil {
		return &Error{Step: Writing, Peer: c.Endpoint, Written: written > 0, Err: err}
	}
	return nil
}

func (m *Message) lastEventFor(attempt Attempt) string {
	if attempt.LastEvent != "" {
		return attempt.LastEvent
	}
	return m.lastEvent
}

// joined reports whether one write sends the complete request.
func (m *Message) joined() bool { return len(m.Body) <= joinedBodyBytes }

// send writes the request, a large body behind the head. It returns how many bytes the connection took.
func (m *Message) send(c *pool.Connection, head []byte) (int, error) {
	if m.joined() {
		return c.Write(append(head, m.Body...))
	}
	n, err := c.Write(head)
	if err != nil {
		return n, err
	}
	more, err := c.Write(m.Body)
	return n + more, err
}
