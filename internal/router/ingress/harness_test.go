package ingress

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"raventrestle/internal/configuration"
	"raventrestle/internal/protocol"
	"raventrestle/internal/router/dispatch"
	"raventrestle/internal/router/dispatcher"
	"raventrestle/internal/router/pool"
)

// testTimeout bounds every wait of a test.
const testTimeout = 10 * time.Second

const (
	testHost   = "shop.example"
	testKey    = "key-of-lempi"
	testTenant = "lempi"
)

// index is a fake configuration.Index.
type index struct {
	routes   []configuration.Route
	services map[string]*configuration.Service
	tenants  map[string]*configuration.Tenant
}

func (x *index) Route(host, path string) (*configuration.Route, bool) {
	var best *configuration.Route
	for i := range x.routes {
		route := &x.routes[i]
		longer := best == nil || len(route.PathPrefix) > len(best.PathPrefix)
		if route.Hostname == host && strings.HasPrefix(path, route.PathPrefix) && longer {
			best = route
		}
	}
	return best, best != nil
}

func (x *index) Tenant(key string) (*configuration.Tenant, bool) {
	tenant, known := x.tenants[key]
	return tenant, known
}

func (x *index) Service(name string) (*configuration.Service, bool) {
	service, known := x.services[name]
	return service, known
}

// testView returns a view with a route of each type.
func testView() *View {
	route := func(prefix string, kind configuration.RouteType) configuration.Route {
		return configuration.Route{
			Name: prefix, Hostname: testHost, PathPrefix: prefix, Type: kind, TimeoutMS: 8000,
			LatencyTargetMS: 500, Backend: "models", MaxAttempts: 3, EventGapTargetMS: 300,
		}
	}
	resumable := route("/resumable/", configuration.Streaming)
	resumable.Resumable = true
	public := route("/public/", configuration.Idempotent)
	public.Public = true
	short := route("/short/", configuration.NonIdempotent)
	short.TimeoutMS = 60
	return &View{
		Generation:             1,
		AuthenticationRequired: true,
		Limits: configuration.Limits{
			MaxHeaderBytes: 16 << 10, MaxBodyBytes: 1 << 20, HeaderTimeoutMS: 3000, IdleTimeoutMS: 15000,
		},
		Index: &index{
			routes: []configuration.Route{
				route("/once/", configuration.NonIdempotent), route("/again/", configuration.Idempotent),
				route("/stream/", configuration.Streaming), resumable, public, short,
			},
			services: map[string]*configuration.Service{"models": {Name: "models", MaxConnections: 100}},
			tenants:  map[string]*configuration.Tenant{testKey: {Name: testTenant}},
		},
	}
}

// fakeDecider stands for the dispatcher's decider: each request is sent to the endpoints in turn, as often as it asks for one.
type fakeDecider struct {
	mutex       sync.Mutex
	endpoints   []string          // addresses; the ids are e0, e1 and so on, by the first place of the address
	keepPending bool              // requests get no decision
	rejectWith  *dispatch.Reject  // the decision for each request, nil for none
	abandonNext *dispatch.Abandon // in the next step
	requests    map[dispatch.RequestID]*dispatch.Request
	attempts    map[dispatch.RequestID]int
	finished    []dispatch.AttemptFinished
	inputs      []dispatch.Input
	changed     chan struct{}
}

func newFakeDecider() *fakeDecider {
	return &fakeDecider{
		requests: map[dispatch.RequestID]*dispatch.Request{},
		attempts: map[dispatch.RequestID]int{},
		changed:  make(chan struct{}, 1),
	}
}

func (d *fakeDecider) NextWake() time.Time { return time.Time{} }

func (d *fakeDecider) Step(_ time.Time, inputs []dispatch.Input) []dispatch.Output {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var outputs []dispatch.Output
	for _, input := range inputs {
		d.inputs = append(d.inputs, input)
		switch i := input.(type) {
		case dispatch.RequestArrived:
			d.requests[i.Request.ID] = &i.Request
			outputs = append(outputs, d.decide(i.Request.ID)...)
		case dispatch.StreamStalled: // like the decider: an attempt is abandoned only if another endpoint will take the request
			if d.attempts[i.ID] < len(d.endpoints) {
				outputs = append(outputs, dispatch.Abandon(i))
			}
		case dispatch.AttemptFinished:
			d.finished = append(d.finished, i)
			if i.NeedsRetry {
				outputs = append(outputs, d.decide(i.ID)...)
			}
		}
	}
	if d.abandonNext != nil {
		outputs = append(outputs, *d.abandonNext)
		d.abandonNext = nil
	}
	select {
	case d.changed <- struct{}{}:
	default:
	}
	return outputs
}

func (d *fakeDecider) decide(id dispatch.RequestID) []dispatch.Output {
	n := d.attempts[id]
	switch {
	case d.rejectWith != nil:
		refusal := *d.rejectWith
		refusal.ID = id
		return []dispatch.Output{refusal}
	case d.keepPending:
		return nil
	case n == len(d.endpoints):
		return []dispatch.Output{dispatch.Reject{ID: id, Reason: dispatch.AttemptsExhausted, RetryAfter: 250 * time.Millisecond}}
	}
	d.attempts[id]++
	endpoint := fmt.Sprintf("e%d", slices.Index(d.endpoints, d.endpoints[n])) // one endpoint may be chosen again
	return []dispatch.Output{dispatch.Send{
		ID: id, Endpoint: endpoint, Address: d.endpoints[n], Priority: 4, MaxConnections: 8,
	}}
}

// waitUntil waits for a state of the decider.
func (d *fakeDecider) waitUntil(t *testing.T, what string, reached func() bool) {
	t.Helper()
	deadline := time.After(testTimeout)
	for {
		d.mutex.Lock()
		ok := reached()
		d.mutex.Unlock()
		if ok {
			return
		}
		select {
		case <-d.changed:
		case <-deadline:
			t.Fatalf("got no %s, want it before the timeout of the test", what)
		}
	}
}

// results waits for n finished attempts and returns their results.
func (d *fakeDecider) results(t *testing.T, n int) []dispatch.Result {
	t.Helper()
	d.waitUntil(t, fmt.Sprintf("%d finished calls", n), func() bool { return len(d.finished) >= n })
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var list []dispatch.Result
	for _, f := range d.finished {
		list = append(list, f.Result)
	}
	return list
}

// testRouter is the data plane of a router with fakes around it.
type testRouter struct {
	stale        atomic.Bool          // the view in force is not known to be the newest
	arrivingView atomic.Pointer[View] // stored while the handler asks for freshness
	t            *testing.T
	decider      *fakeDecider
	view         *CurrentView
	handler      *Handler
	server       *Server
	actor        *dispatcher.Actor
	address      string
}

// stepDecider makes the decider take a step.
func (w *testRouter) stepDecider() {
	w.t.Helper()
	if err := w.actor.ApplyView(context.Background(), dispatch.ViewChanged{}); err != nil {
		w.t.Fatal(err)
	}
}

func newTestRouter(t *testing.T, endpoints ...*endpoint) *testRouter {
	t.Helper()
	w := &testRouter{t: t, decider: newFakeDecider(), view: &CurrentView{}}
	for _, e := range endpoints {
		w.decider.endpoints = append(w.decider.endpoints, e.address)
	}
	w.view.Store(testView())
	dialer := pool.NewDialer()
	actor := dispatcher.New(w.decider, pool.NewIdle(dialer, 100), dispatcher.Reports{Demand: func(protocol.Report) {}, Outcomes: func(dispatch.Summary) {}})
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go actor.Run(ctx)
	w.actor = actor
	w.handler = NewHandler(Config{MaxBodyMemory: 4 << 20}, Dependencies{
		View: w.view, Dispatcher: actor, Dialer: dialer, Events: ignoredEvents{},
		Fresh: func(time.Time) bool {
			if view := w.arrivingView.Load(); view != nil {
				w.view.Store(view)
			}
			return !w.stale.Load()
		},
	})
	server, err := Listen("127.0.0.1:0", 100, w.handler, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	w.server = server
	w.address = server.Address().String()
	go func() { _ = server.Run() }()
	t.Cleanup(func() { _ = server.gate.Close() })
	return w
}

type ignoredEvents struct{}

func (ignoredEvents) AnswerLost(string, error) {}

// client is a client's connection, without a library for HTTP.
type client struct {
	net.Conn
	t      *testing.T
	reader *bufio.Reader
}

func (w *testRouter) client() *client {
	w.t.Helper()
	conn, err := net.Dial("tcp4", w.address)
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(testTimeout))
	return &client{Conn: conn, t: w.t, reader: bufio.NewReader(conn)}
}

// request returns the text of a valid request.
func request(method, path, id, body string, more ...string) string {
	return requestWithKey(method, path, id, body, testKey, more...)
}

// requestWithKey returns the text of a request with a tenant's key.
func requestWithKey(method, path, id, body, key string, more ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\n"+
		"Api-Key: %s\r\n", method, path, testHost, id, key)
	fmt.Fprintf(&b, "X-Deadline-Ms: 5000\r\n")
	for _, line := range more {
		b.WriteString(line + "\r\n")
	}
	if body != "" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n" + body)
	return b.String()
}

func (c *client) send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		c.t.Fatal(err)
	}
}

// answer is what a client has read.
type answer struct {
	*http.Response
	text string
	err  error // of reading the body
}

func (c *client) receive() answer {
	c.t.Helper()
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.t.Fatalf("got no answer: %v, want one", err)
	}
	text, err := io.ReadAll(response.Body)
	return answer{Response: response, text: string(text), err: err}
}

// expectClosed waits for the end of the connection, and fails if anything else comes.
func (c *client) expectClosed() {
	c.t.Helper()
	if n, err := c.reader.ReadByte(); err == nil {
		c.t.Fatalf("got byte %q, want the end of the connection", n)
	} else if errors.Is(err, context.DeadlineExceeded) {
		c.t.Fatal("got an open connection, want its end")
	}
}

// ask sends a request on a new connection and returns the answer.
func (w *testRouter) ask(text string) answer {
	w.t.Helper()
	c := w.client()
	c.send(text)
	return c.receive()
}
