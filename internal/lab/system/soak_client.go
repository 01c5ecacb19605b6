package system

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"time"
)

const (
	soakDeadline = 8 * time.Second // that a client gives one request, all attempts included
	dialTimeout  = time.Second
	clientPause  = 60 * time.Millisecond // at most, between two requests of a client
	retryPause   = 30 * time.Millisecond

	deadlineRounding = time.Millisecond // routers tell endpoints the time left in whole milliseconds

	largeHeadChance = 0.2
	slowChance      = 0.06 // of a request for slowModel
	streamChance    = 0.45
	onceChance      = 0.35    // of a stream that it can't be resumed
	headBytesSpare  = 2 << 10 // of the largest head that the limits allow, for what every request has
)

// fastModels are all but slowModel.
var fastModels = []string{"sparrow", "wren", "stork"}

// soakRequest is one request of a client, with all its attempts.
type soakRequest struct {
	id       string
	path     string
	model    string // empty for one that may run once at most
	headSize int    // of a header that only takes space
}

// mayRunOnce reports whether the request must not run more than one time.
func (r *soakRequest) mayRunOnce() bool { return !strings.HasPrefix(r.path, writerPath) }

// attemptResult is what a client saw of one attempt.
type attemptResult struct {
	router   int
	sentAt   time.Time // of its last byte
	deadline time.Time // that it stated
	endedAt  time.Time
	status   int  // 0: no head of an answer
	foreign  bool // the answer belongs to another request
	inOrder  bool // the events have the numbers that are due
	complete bool // the answer was read to its end
	signed   bool // an endpoint made it
	events   int
	ran      bool // an endpoint began to run the request during the attempt
	err      error
}

// promises reports whether the answer says that the request has not run and will not.
func (a *attemptResult) promises() bool {
	switch a.status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return a.complete
	}
	return false
}

// expired reports whether the attempt ended because its deadline was reached: the client, the router or the endpoint may
// see that first.
func (a *attemptResult) expired() bool {
	return errors.Is(a.err, os.ErrDeadlineExceeded) || !a.endedAt.Before(a.deadline.Add(-deadlineRounding))
}

// served reports whether the attempt brought a complete answer of an endpoint.
func (a *attemptResult) served(r *soakRequest) bool {
	return a.status == http.StatusOK && a.complete && a.signed && (r.model == "" || a.events == eventsEach)
}

// soakClient sends one request after the other. It uses an open connection until the router closes it, whatever is known
// of that router, and then goes to another one.
type soakClient struct {
	soak   *soak
	number int
	random *rand.Rand
	router int
	conn   net.Conn
	reader *bufio.Reader
}

func newSoakClient(s *soak, number int) *soakClient {
	random := s.random(100 + uint64(number))
	return &soakClient{soak: s, number: number, random: random, router: random.IntN(s.world.options.routerCount())}
}

// run sends requests until the context ends, and finishes the one that it has begun.
func (c *soakClient) run(ctx context.Context) {
	defer c.disconnect()
	for number := 0; ctx.Err() == nil; number++ {
		r := c.draw(number)
		c.soak.checker.begin(r)
		c.request(r)
		sleep(ctx, between(c.random, 0, clientPause))
	}
}

// draw returns the client's next request.
func (c *soakClient) draw(number int) *soakRequest {
	r := &soakRequest{id: fmt.Sprintf("soak-%d-%d", c.number, number), path: ledgerPath + "soak"}
	switch draw := c.random.Float64(); {
	case draw < slowChance:
		r.path, r.model = writerPath+"soak", slowModel
	case draw < streamChance:
		r.path, r.model = writerPath+"soak", fastModels[c.random.IntN(len(fastModels))]
		if c.random.Float64() < onceChance {
			r.path = oncePath + "soak"
		}
	}
	if c.random.Float64() < largeHeadChance {
		r.headSize = c.soak.operator.limits.allowedHead(time.Now()) - headBytesSpare
	}
	return r
}

// request sends the request until it is served, may have run, or is out of time.
func (c *soakClient) request(r *soakRequest) {
	deadline := time.Now().Add(soakDeadline)
	for time.Now().Before(deadline) {
		attempt, sent := c.attempt(r, deadline)
		if sent {
			c.soak.checker.recordAttempt(c.soak, r, attempt)
			if attempt.served(r) || r.mayRunOnce() && !attempt.promises() || attempt.status/100 == 4 && !attempt.promises() {
				return
			}
		}
		time.Sleep(retryPause)
	}
}

// attempt sends the request on the open connection, or on a new one. It reports false if no router could be reached.
func (c *soakClient) attempt(r *soakRequest, deadline time.Time) (result attemptResult, sent bool) {
	if c.conn == nil && !c.connect() {
		return result, false
	}
	result.router = c.router
	if err := c.conn.SetDeadline(deadline); err != nil {
		c.disconnect()
		return result, false
	}
	runsBefore := c.soak.checker.beginAttempt(r.id, c.router)
	timeLeft := max(time.Millisecond, time.Until(deadline).Truncate(time.Millisecond))
	result.deadline = time.Now().Add(timeLeft)
	if _, err := io.WriteString(c.conn, c.text(r, timeLeft)); err != nil {
		c.disconnect() // the router closed the connection before the request was sent
		return result, false
	}
	result.sentAt = time.Now()
	c.receive(r, &result)
	result.endedAt = time.Now()
	result.ran = c.soak.checker.runCount(r.id) > runsBefore
	return result, true
}

// connect dials the next router that accepts a connection.
func (c *soakClient) connect() bool {
	c.router = (c.router + 1) % c.soak.world.options.routerCount()
	conn, err := net.DialTimeout("tcp", c.soak.world.places.front(c.router), dialTimeout)
	if err != nil {
		return false
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return true
}

func (c *soakClient) disconnect() {
	if c.conn != nil {
		_ = c.conn.Close() // nothing is expected of it any more
		c.conn = nil
	}
}

// text returns the request as it is sent.
func (c *soakClient) text(r *soakRequest, timeLeft time.Duration) string {
	const body = "a text"
	var b strings.Builder
	fmt.Fprintf(&b, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nApi-Key: %s\r\nX-Deadline-Ms: %d\r\nContent-Length: %d\r\n",
		r.path, host, r.id, tenantKey, timeLeft.Milliseconds(), len(body))
	if r.model != "" {
		fmt.Fprintf(&b, "X-Model: %s\r\nX-Token-Usage: 120,%d\r\nX-Prefix-Hash: 5c1e07a2:80,e4402b7d:40\r\n", r.model, eventsEach)
	}
	if r.headSize > 0 {
		fmt.Fprintf(&b, "X-Note: %s\r\n", strings.Repeat("n", r.headSize))
	}
	b.WriteString("\r\n" + body)
	return b.String()
}

// receive reads the answer. The connection is kept where the answer allows it.
func (c *soakClient) receive(r *soakRequest, result *attemptResult) {
	answer, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		result.err = err
		c.disconnect()
		return
	}
	result.status = answer.StatusCode
	signature := answer.Header.Get("X-Response-Signature")
	result.signed = signature != ""
	answered := answer.Header.Get("X-Request-Id")
	result.foreign = answered != "" && answered != r.id || result.signed && !strings.HasSuffix(signature, "."+r.id)
	events, err := readEvents(answer.Body, time.Now())
	result.events, result.inOrder, result.err = events.count, events.inOrder, err
	_ = answer.Body.Close() // it has been read
	result.complete = result.err == nil
	if result.err != nil || answer.Close {
		c.disconnect()
	}
}
