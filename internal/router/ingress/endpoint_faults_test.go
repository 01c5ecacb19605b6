package ingress

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// requestBytes returns how many bytes the router sends to an endpoint for such a request, less one: the number of digits of
// its deadline varies.
func requestBytes(t *testing.T, path string, timeout time.Duration) int {
	t.Helper()
	size := make(chan int, 1)
	e := newFaultyEndpoint(t, 1, false, func(c net.Conn, reader *bufio.Reader, _ int) {
		var seen bytes.Buffer
		r, err := http.ReadRequest(bufio.NewReader(io.TeeReader(reader, &seen)))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		size <- seen.Len()
		reset(c)
	})
	newTestRouter(t, &endpoint{address: e.address}).observe(path, clientID(0), timeout)
	return <-size - 1
}

// clientID returns the id of a client's request; all have the same length.
func clientID(n int) string { return fmt.Sprintf("r%04d", n) }

// After any byte of the request that an endpoint has read, the request may have run: one that is not retryable is sent once and
// answered 502 or 504; one that is gets one further attempt while there is time.
func TestEndpointFailsAfterAnyByteOfTheRequest(t *testing.T) {
	for kind, k := range routeTypes {
		for fault, fail := range faults {
			for _, reused := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %s, reused %v", kind, fault, reused), func(t *testing.T) {
					t.Parallel()
					timeout := longTimeout
					if fault == "unresponsive" {
						timeout = unresponsiveTimeout
					}
					positions, step := requestBytes(t, k.path, timeout), 1
					switch {
					case reused && fault == "unresponsive": // one client at a time, to reuse connections
						step = positions / 4
					case fault == "unresponsive":
						step = unresponsiveStep
					}
					positions /= step
					var e *faultyEndpoint
					e = newFaultyEndpoint(t, positions, reused, func(c net.Conn, reader *bufio.Reader, position int) {
						if _, err := io.CopyN(io.Discard, reader, int64(1+position*step)); err == nil {
							e.countReached()
							fail(c)
						}
					})
					served := 0
					runAllPositions(t, e, k.path, timeout, func(o outcome) {
						if o.served() {
							served++
						} else if !o.failed() {
							t.Errorf("got %+v, want the answer of the other endpoint, 502 or 504", o)
						}
					})
					reached := e.calls()
					switch { // on a busy machine an attempt may not come about, or leave no time for a second one
					case !k.retryable && served+reached > positions:
						t.Errorf("got %d of %d attempts at the endpoint and %d at the other one, want each request sent once", reached, positions, served)
					case k.retryable && fault != "unresponsive" && served < positions/2:
						t.Errorf("got %d of %d requests answered by the other endpoint, want half of them at least", served, positions)
					}
				})
			}
		}
	}
}

// After any byte of an answer but its last, nothing looks like a complete answer of that endpoint. A request that is not retryable
// is sent once, unless the endpoint has rejected it before the fault.
func TestEndpointFailsAfterAnyByteOfItsAnswer(t *testing.T) {
	for kind, k := range routeTypes {
		list := map[string]shape{}
		for name, s := range shapes {
			list[name] = s
		}
		if strings.Contains(kind, "stream") {
			for name, s := range streamShapes {
				list[name] = s
			}
		}
		for name, s := range list {
			for fault, fail := range faults {
				t.Run(fmt.Sprintf("%s, %s, %s", kind, name, fault), func(t *testing.T) {
					t.Parallel()
					testFaultsInAnswer(t, k.path, k.retryable, s, fault, fail)
				})
			}
		}
	}
}

func testFaultsInAnswer(t *testing.T, path string, retryable bool, s shape, fault string, fail func(net.Conn)) {
	t.Helper()
	positions, step := len(s.text(clientID(0)))+1, 1
	if fault == "unresponsive" {
		step = unresponsiveStep
		positions = (positions + step - 1) / step
	}
	bytesSent := sync.Map{} // by request id: how many bytes of the answer were sent
	var e *faultyEndpoint
	e = newFaultyEndpoint(t, positions, false, func(c net.Conn, reader *bufio.Reader, position int) {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		id := r.Header.Get("X-Request-Id")
		text := s.text(id)
		position = min(position*step, len(text))
		bytesSent.Store(id, position)
		if !s.rejection || position < strings.Index(text, "\r\n\r\n")+len("\r\n\r\n") {
			e.countReached()
		}
		_, _ = io.WriteString(c, text[:position])
		fail(c)
	})
	timeout := longTimeout
	if fault == "unresponsive" {
		timeout = unresponsiveTimeout
	}
	runAllPositions(t, e, path, timeout, func(o outcome) {
		value, reached := bytesSent.Load(o.id)
		if !reached { // on a busy machine no attempt came about
			if !o.served() && !o.failed() {
				t.Errorf("no attempt: got %+v, want the answer of the other endpoint, 502 or 504", o)
			}
			return
		}
		position, _ := value.(int)
		text := s.text(o.id)
		head := strings.Index(text, "\r\n\r\n") + len("\r\n\r\n")
		if !s.allows(o, position, len(text), head, retryable, fault) {
			t.Errorf("failed after %d of %d bytes, head %d: got %+v, want none of the outcomes that mix or repeat", position, len(text), head, o)
		}
	})
}

// allows reports whether a client's outcome is right if only the bytes before position of the endpoint's answer came.
func (s *shape) allows(o outcome, position, all, head int, retryable bool, fault string) bool {
	mayLookComplete := position == all // even if a reset follows it
	if s.unframed {
		mayLookComplete = position >= head && fault == "close"
	}
	faultyAnswer := o.complete && o.signed == "bad"
	resumed := s.events && retryable && o.text == eventsTo(1, goodEvents) && o.sends == 1
	switch {
	case faultyAnswer && resumed: // a stream that was resumed at another endpoint
		return true
	case fault == "unresponsive" && o.status == 0: // a busy machine has not written in time what came
		return o.sends == 0
	case faultyAnswer && !mayLookComplete, o.status == 0, o.sends > 1, o.sends == 1 && !retryable && !s.rejection:
		return false
	case fault == "unresponsive" && o.status == 504 && o.text == "" && o.signed == "":
		return true
	case s.rejection && position >= head:
		return o.served() || (fault == "reset" || retryable) && o.failed()
	case s.failure && position == all:
		return o.failed() || retryable && o.served() || faultyAnswer && o.status == 500 && o.text == s.body
	case faultyAnswer:
		return o.sends == 0 && o.status == 200 && (o.text == s.body || s.unframed && strings.HasPrefix(s.body, o.text))
	case !o.complete: // the client got part of an answer and can tell
		return o.status == 200 && strings.HasPrefix(s.body, o.text) && o.sends == 0
	}
	return o.failed() || retryable && o.served()
}
