package ingress

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"raventrestle/internal/configuration"
)

func TestInvalidRequestsAreRejected(t *testing.T) {
	plain := request("POST", "/once/x", "r1", "b")
	without := func(line string) string {
		var kept []string
		for l := range strings.SplitSeq(plain, "\r\n") {
			if !strings.HasPrefix(l, line) {
				kept = append(kept, l)
			}
		}
		return strings.Join(kept, "\r\n")
	}
	with := func(line string) string { return strings.Replace(plain, "\r\n", "\r\n"+line+"\r\n", 1) }
	chunked := func(size int) string {
		head := strings.TrimSuffix(without("Content-Length"), "b")
		return strings.Replace(head, "\r\n\r\n", "\r\nTransfer-Encoding: chunked\r\n\r\n", 1) +
			fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", size, strings.Repeat("x", size))
	}
	for name, c := range map[string]struct {
		text   string
		status int
	}{
		"unknown path":             {request("POST", "/nowhere/x", "r", "b"), 404},
		"prefix without its slash": {request("POST", "/once", "r", "b"), 404},
		"unknown host":             {strings.Replace(plain, testHost, "other.example", 1), 404},
		"no key":                   {without("Api-Key"), 401},
		"unknown key":              {strings.Replace(plain, testKey, "wrong", 1), 401},
		"two keys":                 {with("Api-Key: " + testKey), 401},
		"no id":                    {without("X-Request-Id"), 400},
		"two ids":                  {with("X-Request-Id: r2"), 400},
		"bad deadline":             {strings.Replace(plain, "X-Deadline-Ms: 5000", "X-Deadline-Ms: soon", 1), 400},
		"negative deadline":        {strings.Replace(plain, "X-Deadline-Ms: 5000", "X-Deadline-Ms: -5", 1), 400},
		"large header":             {with("X-Large: " + strings.Repeat("x", 20<<10)), 431},
		"slightly large header":    {with("X-Large: " + strings.Repeat("x", 16<<10)), 431},
		"huge header":              {with("X-Large: " + strings.Repeat("x", 64<<10)), 431},
		"large body":               {strings.Replace(plain, "Content-Length: 1", "Content-Length: 1048577", 1), 413},
		"large body in chunks":     {chunked(1<<20 + 1), 413},
		"no host":                  {without("Host"), 400},
		"HTTP/1.0":                 {strings.Replace(plain, "HTTP/1.1", "HTTP/1.0", 1), 505},
		"CONNECT":                  {strings.Replace(plain, "POST /once/x", "CONNECT shop.example:80", 1), 501},
		"OPTIONS *":                {strings.Replace(plain, "POST /once/x", "OPTIONS *", 1), 400},
		"odd expectation":          {with("Expect: a-miracle"), 417},
	} {
		t.Run(name, func(t *testing.T) {
			e := newEndpoint(t, echo)
			w := newTestRouter(t, e)
			got := w.ask(c.text)
			if got.StatusCode != c.status || got.Header.Get("X-Response-Signature") != "" {
				t.Errorf("%v, want %d", got.Response, c.status)
			}
			if n := len(e.requests()); n != 0 {
				t.Errorf("got %d requests at the endpoint, want none", n)
			}
		})
	}
}

// Valid requests are forwarded, though they look odd.
func TestValidRequestsAreForwarded(t *testing.T) {
	plain := request("POST", "/once/x", "r1", "b")
	for name, text := range map[string]string{
		"expectation":       strings.Replace(plain, "\r\n", "\r\nExpect: 100-continue\r\n", 1),
		"absolute form":     strings.Replace(plain, "POST /once/x", "POST http://"+testHost+"/once/x", 1),
		"no deadline":       strings.Replace(plain, "X-Deadline-Ms: 5000\r\n", "", 1),
		"deadline in parts": strings.Replace(plain, "X-Deadline-Ms: 5000", "X-Deadline-Ms: 4999.5", 1),
	} {
		t.Run(name, func(t *testing.T) {
			e := newEndpoint(t, echo)
			w := newTestRouter(t, e)
			c := w.client()
			c.send(text)
			got := c.receive()
			if got.StatusCode == http.StatusContinue {
				got = c.receive()
			}
			if got.StatusCode != http.StatusOK || e.requests()[0].RequestURI != "/once/x" {
				t.Errorf("got %v, want 200", got.Response)
			}
		})
	}
}

func TestPublicRouteNeedsNoKey(t *testing.T) {
	e := newEndpoint(t, echo)
	w := newTestRouter(t, e)
	text := strings.Replace(request("GET", "/public/x", "r1", "", "X-Tenant: forged"), "Api-Key: "+testKey+"\r\n", "", 1)
	if got := w.ask(text); got.StatusCode != http.StatusOK {
		t.Errorf("got %v, want 200", got.Response)
	}
	if have := e.requests()[0].Header.Get("X-Tenant"); have != "" {
		t.Errorf("got X-Tenant %q, want none", have)
	}
}

// A router that can't prove that its configuration is the newest does not say that a route or key is unknown: another router
// may know it.
func TestStaleRouterAnswers503InsteadOf401And404(t *testing.T) {
	plain := request("POST", "/once/x", "r1", "b")
	for name, c := range map[string]struct {
		text         string
		fresh, stale int
	}{
		"unknown path": {request("POST", "/nowhere/x", "r", "b"), 404, 503},
		"unknown host": {strings.Replace(plain, testHost, "other.example", 1), 404, 503},
		"unknown key":  {strings.Replace(plain, testKey, "wrong", 1), 401, 503},
		"no key":       {strings.Replace(plain, "Api-Key: "+testKey+"\r\n", "", 1), 401, 503},
		"no id":        {strings.Replace(plain, "X-Request-Id: r1\r\n", "", 1), 400, 400},
		"known":        {plain, 200, 200},
	} {
		t.Run(name, func(t *testing.T) {
			w := newTestRouter(t, newEndpoint(t, echo))
			if got := w.ask(c.text); got.StatusCode != c.fresh {
				t.Errorf("fresh: %v, want %d", got.Response, c.fresh)
			}
			w.stale.Store(true)
			got := w.ask(c.text)
			if got.StatusCode != c.stale {
				t.Errorf("stale: %v, want %d", got.Response, c.stale)
			}
			if got.StatusCode == http.StatusServiceUnavailable && (got.Header.Get("Retry-After") != "0.2" || !got.Close) {
				t.Errorf("got %v, close %v, want Retry-After 0.2 and close, so that another router is asked soon", got.Header, got.Close)
			}
		})
	}
}

// A view that is stored just before the router counts as fresh is the one that a request is looked up in.
func TestRequestIsLookedUpInTheViewThatIsFresh(t *testing.T) {
	w := newTestRouter(t, newEndpoint(t, echo))
	w.arrivingView.Store(testView())
	before := testView()
	before.Index = &index{}
	w.view.Store(before)
	if got := w.ask(request("POST", "/once/x", "r1", "b")); got.StatusCode != http.StatusOK {
		t.Errorf("got %v, want 200: the view without the route was not in force any more", got.Response)
	}
}

func TestRequestBeforeTheFirstConfigurationIsAnswered503(t *testing.T) {
	w := newTestRouter(t)
	w.view.view.Store(nil)
	if got := w.ask(request("GET", "/once/x", "r1", "")); got.StatusCode != http.StatusServiceUnavailable || got.Header.Get("Retry-After") == "" {
		t.Errorf("got %v, want 503 with Retry-After", got.Response)
	}
}

// A request with a length and chunks, or with other ambiguous framing, is not forwarded, and nothing behind it is run.
func TestAmbiguousFramingIsRejected(t *testing.T) {
	inner := request("GET", "/again/inner", "inner", "")
	head := strings.TrimSuffix(request("POST", "/once/x", "r1", ""), "\r\n")
	for name, text := range map[string]string{
		"length and chunks": head + fmt.Sprintf("Content-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"+
			"%s", 5+len(inner), inner),
		"chunks and length": head + fmt.Sprintf("Transfer-Encoding: chunked\r\ncontent-LENGTH: %d\r\n\r\n0\r\n\r\n"+
			"%s", 5+len(inner), inner),
		"two lengths":  head + fmt.Sprintf("Content-Length: 0\r\nContent-Length: %d\r\n\r\n%s", len(inner), inner),
		"odd encoding": head + fmt.Sprintf("Content-Length: 5\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n%s", inner),
		"space before colon": head + fmt.Sprintf("Content-Length : 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n%s",
			inner),
		"signed length":   head + fmt.Sprintf("Content-Length: +%d\r\n\r\n%s", len(inner), inner),
		"odd chunk size":  head + "Transfer-Encoding: chunked\r\n\r\n0x1\r\na\r\n0\r\n\r\n" + inner,
		"folded header":   head + "Transfer-Encoding:\r\n chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n" + inner,
		"chunk extension": head + "Transfer-Encoding: chunked\r\n\r\n1;\n\r\na\r\n0\r\n\r\n" + inner,
	} {
		t.Run(name, func(t *testing.T) {
			e := newEndpoint(t, echo)
			w := newTestRouter(t, e)
			c := w.client()
			c.send(text)
			got := c.receive()
			if got.StatusCode < 400 {
				t.Errorf("got %v, want 4xx or 5xx", got.Response)
			}
			c.expectClosed()
			if n := len(e.requests()); n != 0 {
				t.Errorf("got %d requests at the endpoint, want none", n)
			}
		})
	}
}

// A body that looks like a request is a body.
func TestRequestInsideABodyIsNotRun(t *testing.T) {
	e := newEndpoint(t, echo)
	w := newTestRouter(t, e)
	inner := request("GET", "/again/inner", "inner", "")
	c := w.client()
	c.send(request("POST", "/once/x", "r1", inner))
	if got := c.receive(); got.text != "done "+inner {
		t.Errorf("got %q, want %q", got.text, "done "+inner)
	}
	c.send(request("POST", "/once/x", "r2", "b"))
	if got := c.receive(); got.text != "done b" {
		t.Errorf("got %q, want %q", got.text, "done b")
	}
	if n := len(e.requests()); n != 2 {
		t.Errorf("got %d requests at the endpoint, want 2", n)
	}
}

// New limits apply to all connections; old ones stay open.
func TestChangedLimitsApplyToNewConnections(t *testing.T) {
	e := newEndpoint(t, echo)
	w := newTestRouter(t, e)
	old := w.client()
	old.send(request("POST", "/once/x", "r1", "b"))
	old.receive()
	view := *testView()
	view.Limits = configuration.Limits{MaxHeaderBytes: 300, MaxBodyBytes: 10, HeaderTimeoutMS: 3000, IdleTimeoutMS: 15000}
	w.view.Store(&view)
	old.send(request("POST", "/once/x", "r2", "b"))
	if got := old.receive(); got.StatusCode != http.StatusOK {
		t.Errorf("old connection: got %v, want 200", got.Response)
	}
	large := "X-Large: " + strings.Repeat("x", 8<<10)
	if got := w.ask(request("POST", "/once/x", "r3", "b", large)); got.StatusCode != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("new connection, large head: got %v, want 431", got.Response)
	}
	if got := w.ask(request("POST", "/once/x", "r4", "eleven bytes")); got.StatusCode != http.StatusRequestEntityTooLarge {
		t.Errorf("new connection, large body: got %v, want 413", got.Response)
	}
}

// A route's services get its requests by weight, each request always the same service.
func TestTrafficIsSplitByWeightAndRequestID(t *testing.T) {
	route := &configuration.Route{TrafficSplit: []configuration.Split{
		{Backend: "a", Weight: 90}, {Backend: "b", Weight: 10}, {Backend: "c"},
	}}
	count := map[string]int{}
	for i := range 10000 {
		id := fmt.Sprintf("%016x", i*7919)
		service := serviceFor(route, id)
		count[service]++
		if serviceFor(route, id) != service {
			t.Fatalf("got another service than %q for the same request", service)
		}
	}
	if count["b"] < 850 || count["b"] > 1150 || count["c"] > 0 || count["a"]+count["b"] != 10000 {
		t.Errorf("got %v, want about 9 parts of a, 1 of b and none of c", count)
	}
}

// Each reason has a status, and the statuses of requests that may have run do not promise that they have not.
func TestEveryRejectionReasonHasAStatus(t *testing.T) {
	if got, want := len(rejectionAnswers), int(reasonDeadlinePassed)+1; got != want {
		t.Errorf("got %d answers, want one for each of %d reasons", got, want)
	}
	for reason, answer := range rejectionAnswers {
		if answer.status < http.StatusBadRequest {
			t.Errorf("reason %d: got status %d, want 4xx or 5xx", reason, answer.status)
		}
	}
	for _, reason := range []rejectionReason{reasonOutcomeUnknown, reasonDeadlinePassed} {
		if got := rejectionAnswers[reason]; promisesNotRun(got.status) || got.retryAfter > 0 {
			t.Errorf("reason %d: got %+v, want an answer that does not say that the request has not run", reason, got)
		}
	}
}
