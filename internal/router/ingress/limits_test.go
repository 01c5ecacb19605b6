package ingress

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"raventrestle/internal/configuration"
)

const (
	smallLimit    = 16 << 10
	largeLimit    = 64 << 10
	betweenLimits = 30_000 // bytes that the large limit allows and the small one does not, by more than any margin
)

// setLimits puts a view in force whose limits are changed.
func (w *testRouter) setLimits(change func(l *configuration.Limits)) {
	view := *testView()
	change(&view.Limits)
	w.view.Store(&view)
}

// keptClient returns a client whose connection has served a request.
func (w *testRouter) keptClient() *client {
	w.t.Helper()
	c := w.client()
	c.send(request("POST", "/once/x", "first", "b"))
	if got := c.receive(); got.StatusCode != http.StatusOK {
		w.t.Fatalf("first request: got %v, want 200", got.Response)
	}
	return c
}

func largeHeader(size int) string { return "X-Large: " + strings.Repeat("x", size) }

// expectClosedWithin checks that the router closes the connection, no sooner and no later than given.
func (c *client) expectClosedWithin(after, before time.Duration) {
	c.t.Helper()
	began := time.Now()
	_, err := io.ReadAll(c.reader) // the router may say why
	took := time.Since(began)
	if err != nil && !errors.Is(err, syscall.ECONNRESET) {
		c.t.Errorf("got %v, want the connection closed", err)
	}
	if took < after || took > before {
		c.t.Errorf("closed after %v, want between %v and %v", took, after, before)
	}
}

// Guards against review/3: connections kept from before max_header_bytes was raised went on with the old limit, and proper
// requests on them were answered 431.
func TestLimitOfHeadsAppliesToKeptConnections(t *testing.T) {
	for name, c := range map[string]struct{ before, after, size, want int }{
		"raised":                  {smallLimit, largeLimit, betweenLimits, http.StatusOK},
		"lowered":                 {largeLimit, smallLimit, betweenLimits, http.StatusRequestHeaderFieldsTooLarge},
		"lowered, head is small":  {largeLimit, smallLimit, smallLimit / 2, http.StatusOK},
		"raised, head is too big": {smallLimit, largeLimit, 2 * largeLimit, http.StatusRequestHeaderFieldsTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			w := newTestRouter(t, newEndpoint(t, echo))
			w.setLimits(func(l *configuration.Limits) { l.MaxHeaderBytes = int64(c.before) })
			kept := w.keptClient()
			w.setLimits(func(l *configuration.Limits) { l.MaxHeaderBytes = int64(c.after) })
			kept.send(request("POST", "/once/x", "r2", "b", largeHeader(c.size)))
			if got := kept.receive(); got.StatusCode != c.want {
				t.Errorf("got %v, want %d", got.Response, c.want)
			}
		})
	}
}

// A connection that answers a request while the limit is raised reads the next one by the new limit.
func TestLimitOfHeadsAppliesToBusyConnections(t *testing.T) {
	began, release := make(chan struct{}), make(chan struct{})
	e := newEndpoint(t, func(c net.Conn, r *receivedRequest) bool {
		if r.Header.Get("X-Request-Id") == "slow" {
			close(began)
			<-release
		}
		return echo(c, r)
	})
	w := newTestRouter(t, e)
	c := w.client()
	c.send(request("POST", "/once/x", "slow", "b"))
	<-began
	w.setLimits(func(l *configuration.Limits) { l.MaxHeaderBytes = largeLimit })
	close(release)
	c.receive()
	c.send(request("POST", "/once/x", "r2", "b", largeHeader(betweenLimits)))
	if got := c.receive(); got.StatusCode != http.StatusOK {
		t.Errorf("got %v, want 200", got.Response)
	}
}

// A request counts on the limits in force at its first byte: lowering them does not refuse it while it arrives.
func TestLimitsAreThoseOfTheFirstByte(t *testing.T) {
	const body = 1000
	for name, lower := range map[string]func(l *configuration.Limits){
		"head": func(l *configuration.Limits) { l.MaxHeaderBytes = 300 },
		"body": func(l *configuration.Limits) { l.MaxBodyBytes = 10 },
	} {
		for _, kept := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, kept connection %v", name, kept), func(t *testing.T) {
				w := newTestRouter(t, newEndpoint(t, echo))
				c := w.client()
				if kept {
					c = w.keptClient()
				}
				text := request("POST", "/once/x", "r2", strings.Repeat("b", body), largeHeader(smallLimit/2))
				c.send(text[:100])
				time.Sleep(100 * time.Millisecond) // until the router has read it
				w.setLimits(lower)
				c.send(text[100:])
				if got := c.receive(); got.StatusCode != http.StatusOK {
					t.Errorf("got %v, want 200", got.Response)
				}
				c.send(text)
				if got := c.receive(); got.StatusCode != http.StatusRequestHeaderFieldsTooLarge && got.StatusCode != http.StatusRequestEntityTooLarge {
					t.Errorf("next request: got %v, want it refused by the new limit", got.Response)
				}
			})
		}
	}
}

func TestLimitOfBodiesAppliesToKeptConnections(t *testing.T) {
	w := newTestRouter(t, newEndpoint(t, echo))
	w.setLimits(func(l *configuration.Limits) { l.MaxBodyBytes = 10 })
	raised, lowered := w.keptClient(), w.keptClient()
	w.setLimits(func(l *configuration.Limits) { l.MaxBodyBytes = 100 })
	raised.send(request("POST", "/once/x", "r2", strings.Repeat("b", 100)))
	if got := raised.receive(); got.StatusCode != http.StatusOK {
		t.Errorf("raised: got %v, want 200", got.Response)
	}
	w.setLimits(func(l *configuration.Limits) { l.MaxBodyBytes = 10 })
	lowered.send(request("POST", "/once/x", "r3", strings.Repeat("b", 100)))
	if got := lowered.receive(); got.StatusCode != http.StatusRequestEntityTooLarge {
		t.Errorf("lowered: got %v, want 413", got.Response)
	}
}

// timeLimit is a limit of time on kept connections, with what it bounds.
type timeLimit struct {
	set    func(l *configuration.Limits, limit time.Duration)
	margin time.Duration
	begun  int  // bytes of a request that have come when the limit begins to run
	answer bool // the limit in force applies after the next answer only
}

var timeLimits = map[string]timeLimit{
	"idle": {
		set:    func(l *configuration.Limits, limit time.Duration) { l.IdleTimeoutMS = limit.Milliseconds() },
		margin: idleTimeoutMargin, answer: true,
	},
	"head": {
		set:    func(l *configuration.Limits, limit time.Duration) { l.HeaderTimeoutMS = limit.Milliseconds() },
		margin: headTimeoutMargin, begun: 50,
	},
}

// A longer limit keeps connections that are idle already, and a head that begins; a shorter idle limit applies after the next
// answer, a shorter one for heads to the next head.
func TestTimeLimitsApplyToKeptConnections(t *testing.T) {
	const short = 100 * time.Millisecond
	text := request("POST", "/once/x", "r2", "b")
	for name, limit := range timeLimits {
		t.Run(name+", raised", func(t *testing.T) {
			t.Parallel()
			w := newTestRouter(t, newEndpoint(t, echo))
			w.setLimits(func(l *configuration.Limits) { limit.set(l, short) })
			kept := w.keptClient()
			w.setLimits(func(*configuration.Limits) {})
			kept.send(text[:limit.begun])
			time.Sleep(short + limit.margin + 500*time.Millisecond)
			kept.send(text[limit.begun:])
			if got := kept.receive(); got.StatusCode != http.StatusOK {
				t.Errorf("got %v, want 200", got.Response)
			}
		})
		t.Run(name+", lowered", func(t *testing.T) {
			t.Parallel()
			w := newTestRouter(t, newEndpoint(t, echo))
			kept := w.keptClient()
			w.setLimits(func(l *configuration.Limits) { limit.set(l, short) })
			if limit.answer {
				kept.send(text)
				kept.receive()
			}
			kept.send(text[:limit.begun])
			kept.expectClosedWithin(short+limit.margin/2, short+2*limit.margin)
		})
	}
}

// A router that may lack the newest configuration does not know whether a request is too large.
func TestStaleRouterAnswers503InsteadOf431And413(t *testing.T) {
	for name, text := range map[string]string{
		"large head":             request("POST", "/once/x", "r1", "b", largeHeader(smallLimit)),
		"head far too large":     request("POST", "/once/x", "r1", "b", largeHeader(largeLimit)),
		"large body":             request("POST", "/once/x", "r1", strings.Repeat("b", 2<<20)),
		"large body, in a chunk": request("POST", "/once/x", "r1", "", "Transfer-Encoding: chunked") + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", 2<<20, strings.Repeat("b", 2<<20)),
	} {
		t.Run(name, func(t *testing.T) {
			w := newTestRouter(t, newEndpoint(t, echo))
			w.stale.Store(true)
			c := w.client()
			go func() { _, _ = io.WriteString(c, text) }() // the router may close before it has read all
			got := c.receive()
			if got.StatusCode != http.StatusServiceUnavailable || got.Header.Get("Retry-After") == "" {
				t.Errorf("got %v, want 503 with a Retry-After", got.Response)
			}
		})
	}
}

// A large body behind a head that was read together with the request before it does not count as part of a head.
func TestBodyOfAPipelinedRequestIsNoHead(t *testing.T) {
	w := newTestRouter(t, newEndpoint(t, echo))
	c := w.client()
	body := strings.Repeat("b", 2*largeLimit)
	next := request("POST", "/once/x", "r2", body)
	head := strings.Index(next, "\r\n\r\n") + len("\r\n\r\n")
	c.send(request("POST", "/once/x", "r1", "b") + next[:head])
	if got := c.receive(); got.StatusCode != http.StatusOK {
		t.Fatalf("first request: got %v, want 200", got.Response)
	}
	c.send(next[head:])
	if got := c.receive(); got.text != "done "+body {
		t.Errorf("got %v with %d bytes, want the body echoed", got.Response, len(got.text))
	}
}

// net/http skips a blank line before a request that follows a POST; the framing of that request is checked all the same.
func TestAmbiguousFramingBehindABlankLineIsRejected(t *testing.T) {
	w := newTestRouter(t, newEndpoint(t, echo))
	kept := w.keptClient()
	kept.send("\r\n" + request("POST", "/once/x", "r2", "0\r\n\r\n", "Transfer-Encoding: chunked"))
	if got := kept.receive(); got.StatusCode != http.StatusBadRequest {
		t.Errorf("got %v, want 400", got.Response)
	}
}
