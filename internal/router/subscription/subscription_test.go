package subscription

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"time"

	"raventrestle/internal/configuration"
	"raventrestle/internal/protocol"
	"raventrestle/internal/router/dispatch"
	"raventrestle/internal/transport"
)

const testTimeout = 10 * time.Second

// stubInstance is a control instance that answers probes with proof of a recent contact. All other messages are sent to the
// channel received, and the test answers them.
type stubInstance struct {
	t        *testing.T
	started  time.Time
	server   *transport.Server
	received chan receivedMessage
	closed   chan struct{}
}

type receivedMessage struct {
	connection *transport.Connection
	message    any
}

func newInstance(t *testing.T) *stubInstance {
	t.Helper()
	i := &stubInstance{t: t, started: time.Now(), received: make(chan receivedMessage, 100), closed: make(chan struct{}, 100)}
	server, err := transport.Listen("127.0.0.1:0", protocol.NewCodec(), i)
	if err != nil {
		t.Fatal(err)
	}
	i.server = server
	t.Cleanup(func() {
		if err := server.Close(); err != nil {
			t.Logf("close: %v", err) // a test may have closed it already
		}
	})
	return i
}

func (i *stubInstance) Message(c *transport.Connection, message any) {
	if probe, ok := message.(*protocol.Probe); ok {
		proof := protocol.FreshnessProof{Epoch: 1, HasMajorityContact: true, SentAt: time.Since(i.started), EchoedSequence: probe.EchoSequence}
		_ = c.Send(protocol.ProbeReply{Generation: 4, Freshness: proof})
		return
	}
	i.received <- receivedMessage{c, message}
}

// send sends a message to the router.
func send(t *testing.T, c *transport.Connection, message any) {
	t.Helper()
	if err := c.Send(message); err != nil {
		t.Errorf("send %T: got %v, want no error", message, err)
	}
}

func (i *stubInstance) Closed(*transport.Connection, error) { i.closed <- struct{}{} }

func receive[M any](i *stubInstance) (*transport.Connection, M) {
	i.t.Helper()
	select {
	case a := <-i.received:
		m, ok := a.message.(M)
		if !ok {
			i.t.Fatalf("got %T, want %T", a.message, m)
		}
		return a.connection, m
	case <-time.After(testTimeout):
		var m M
		i.t.Fatalf("got no message in %v, want %T", testTimeout, m)
		return nil, m
	}
}

// recordingApplier stores the views and the grants that it receives.
type recordingApplier struct {
	seeds   []string
	mutex   sync.Mutex
	views   []dispatch.ViewChanged
	grants  []*protocol.CreditGrant
	release chan struct{} // Apply waits for it unless it is nil
}

func (f *recordingApplier) ParseConfiguration(document []byte) (*configuration.Configuration, error) {
	if string(document) == "bad" {
		return nil, errors.New("bad")
	}
	return &configuration.Configuration{}, nil
}

func (f *recordingApplier) Apply(_ context.Context, view dispatch.ViewChanged) error {
	if f.release != nil {
		<-f.release
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.views = append(f.views, view)
	return nil
}

func (f *recordingApplier) ReadSeeds() []string { return f.seeds }

func (f *recordingApplier) CreditGranted(grant *protocol.CreditGrant) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.grants = append(f.grants, grant)
}

func (f *recordingApplier) lastView() dispatch.ViewChanged {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.views[len(f.views)-1]
}

type readyRecorder struct{ ready chan struct{} }

func (readyRecorder) InstanceFollowed(string)               {}
func (readyRecorder) InstanceLeft(string, error)            {}
func (readyRecorder) ControlPlaneUnreachable(string, error) {}
func (readyRecorder) ConfigurationApplied(int64)            {}
func (q readyRecorder) RouterReady()                        { close(q.ready) }

type runningSubscription struct {
	*Subscription
	applier *recordingApplier
	events  readyRecorder
}

func startSubscription(t *testing.T, instances ...*stubInstance) *runningSubscription {
	t.Helper()
	w := &runningSubscription{applier: &recordingApplier{}, events: readyRecorder{ready: make(chan struct{})}}
	for _, i := range instances {
		w.applier.seeds = append(w.applier.seeds, i.server.Address())
	}
	w.Subscription = New(Config{Node: "n", Zone: "z1", Incarnation: 7, TrustTTL: time.Second}, Dependencies{
		Candidates: NewCandidates("z1", netip.MustParseAddr("127.0.0.1"), rand.New(rand.NewPCG(1, 1))),
		Applier:    w.applier,
		Events:     w.events,
	})
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); w.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		select {
		case <-ended:
		case <-time.After(testTimeout):
			t.Errorf("run: got no return in %v after its context ended, want one", testTimeout)
		}
	})
	return w
}

var fullUpdate = protocol.Update{
	Sequence: 1, Generation: 4, Document: []byte("four"), Snapshot: true, Endpoints: []protocol.Endpoint{{ID: "e"}},
}

func TestUpdateIsAcknowledgedOnlyOnceApplied(t *testing.T) {
	i := newInstance(t)
	w := startSubscription(t, i)
	w.applier.release = make(chan struct{})
	c, s := receive[*protocol.Subscribe](i)
	if s.EchoSequence == 0 {
		t.Error("echo sequence: got 0, want one")
	}
	if s.EchoSequence = 0; *s != (protocol.Subscribe{Node: "n", Zone: "z1", Incarnation: 7}) {
		t.Errorf("subscribe: got %+v, want node n in zone z1, incarnation 7, and nothing applied", s)
	}
	send(t, c, fullUpdate)
	select {
	case a := <-i.received:
		t.Fatalf("before the update is applied: got %T, want no message", a.message)
	case w.applier.release <- struct{}{}:
	}
	if _, m := receive[*protocol.UpdateAck](i); m.Sequence != 1 {
		t.Errorf("acknowledgement: got %+v, want sequence 1", m)
	}
	if w.Ready() {
		t.Error("ready: got true, want false: no generation is confirmed")
	}
	w.Report(protocol.Report{})
	if _, r := receive[*protocol.Report](i); r.Node != "n" || r.Incarnation != 7 || r.Sequence != 1 {
		t.Errorf("report: got %+v, want node n, incarnation 7, sequence 1", r)
	}
	send(t, c, protocol.Update{Sequence: 2, Generation: 4, GenerationConfirmed: true})
	w.applier.release <- struct{}{}
	<-w.events.ready
	if err := i.server.Close(); err != nil {
		t.Errorf("close: got %v, want no error", err)
	}
	if !w.Ready() {
		t.Error("ready while the control plane is out of reach: got false, want true")
	}
}

// After a fault of the followed instance the router subscribes to another one, starting from the generation that it has applied.
func TestRouterSubscribesToAnotherInstanceAfterAFault(t *testing.T) {
	for name, inject := range map[string]func(*transport.Connection) error{
		"missing update":             func(c *transport.Connection) error { return c.Send(protocol.Update{Sequence: 3, Generation: 4}) },
		"repeated update":            func(c *transport.Connection) error { return c.Send(protocol.Update{Sequence: 1, Generation: 4}) },
		"beacon of another sequence": func(c *transport.Connection) error { return c.Send(protocol.Beacon{Sequence: 2, Generation: 4}) },
		"unusable configuration": func(c *transport.Connection) error {
			return c.Send(protocol.Update{Sequence: 2, Generation: 5, Document: []byte("bad")})
		},
		"closed":       func(c *transport.Connection) error { c.Close(); return nil },
		"unresponsive": func(*transport.Connection) error { return nil },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			a, b := newInstance(t), newInstance(t)
			startSubscription(t, a, b)
			first, second := a, b
			var c *transport.Connection
			select {
			case got := <-a.received:
				c = got.connection
			case got := <-b.received:
				c, first, second = got.connection, b, a
			}
			send(t, c, fullUpdate)
			receive[*protocol.UpdateAck](first)
			if err := inject(c); err != nil {
				t.Fatalf("inject: got %v, want no error", err)
			}
			if _, s := receive[*protocol.Subscribe](second); s.Generation != 4 {
				t.Errorf("subscribe: got %+v, want generation 4", s)
			}
			<-first.closed
		})
	}
}

// An older configuration is not applied, and an update that confirms it as the newest does not make the router ready.
func TestOlderConfigurationIsNotApplied(t *testing.T) {
	i := newInstance(t)
	w := startSubscription(t, i)
	c, _ := receive[*protocol.Subscribe](i)
	send(t, c, fullUpdate)
	receive[*protocol.UpdateAck](i)
	send(t, c, protocol.Update{Sequence: 2, Generation: 3, Document: []byte("three"), GenerationConfirmed: true})
	receive[*protocol.UpdateAck](i)
	if w.applier.lastView().Configuration != nil || w.Ready() {
		t.Errorf("older configuration: got %v applied, ready %v; want neither", w.applier.lastView().Configuration, w.Ready())
	}
	send(t, c, protocol.Update{Sequence: 3, Generation: 4, Document: []byte("four"), GenerationConfirmed: true})
	receive[*protocol.UpdateAck](i)
	if w.applier.lastView().Configuration != nil || !w.Ready() {
		t.Errorf("same configuration, confirmed: got %v applied, ready %v; want none, true", w.applier.lastView().Configuration, w.Ready())
	}
}

func TestReadinessRequiresACompleteTableOfEndpoints(t *testing.T) {
	i := newInstance(t)
	w := startSubscription(t, i)
	c, _ := receive[*protocol.Subscribe](i)
	send(t, c, protocol.Update{Sequence: 1, Generation: 4, Document: []byte("four"), GenerationConfirmed: true})
	receive[*protocol.UpdateAck](i)
	if w.Ready() {
		t.Error("ready: got true, want false: the table of endpoints is not complete")
	}
	send(t, c, protocol.Update{Sequence: 2, Generation: 4, Snapshot: true})
	receive[*protocol.UpdateAck](i)
	if !w.Ready() {
		t.Error("ready: got false, want true")
	}
}

// When the system starts for the first time, the confirmation is sent before there is a configuration. A configuration that follows
// on the same connection is committed and newer, so no further confirmation is needed.
func TestFirstConfigurationMakesTheRouterReady(t *testing.T) {
	i := newInstance(t)
	w := startSubscription(t, i)
	c, _ := receive[*protocol.Subscribe](i)
	send(t, c, protocol.Update{Sequence: 1, Snapshot: true, GenerationConfirmed: true})
	receive[*protocol.UpdateAck](i)
	if w.Ready() {
		t.Error("ready: got true, want false: there is no configuration")
	}
	send(t, c, protocol.Update{Sequence: 2, Generation: 4, Document: []byte("four")})
	receive[*protocol.UpdateAck](i)
	if !w.Ready() {
		t.Error("ready: got false, want true")
	}
}

func TestChangedSeedsAreProbed(t *testing.T) {
	i := newInstance(t)
	w := startSubscription(t)
	w.SetSeeds([]string{i.server.Address()})
	receive[*protocol.Subscribe](i)
}
