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

const patience = 10 * time.Second

// instance is a stand-in for a control instance. It answers probes with proof of a fresh contact; all else that it gets
// goes to its channel, and the test answers.
type instance struct {
	t       *testing.T
	started time.Time
	server  *transport.Server
	got     chan arrival
	closed  chan struct{}
}

type arrival struct {
	connection *transport.Connection
	message    any
}

func newInstance(t *testing.T) *instance {
	t.Helper()
	i := &instance{t: t, started: time.Now(), got: make(chan arrival, 100), closed: make(chan struct{}, 100)}
	server, err := transport.Listen("127.0.0.1:0", protocol.NewCodec(), i)
	if err != nil {
		t.Fatal(err)
	}
	i.server = server
	t.Cleanup(func() { server.Close() })
	return i
}

func (i *instance) Message(c *transport.Connection, message any) {
	if probe, ok := message.(*protocol.Probe); ok {
		standing := protocol.FreshnessProof{Epoch: 1, HasMajorityContact: true, SentAt: time.Since(i.started), EchoedSequence: probe.EchoSequence}
		c.Send(protocol.ProbeReply{Generation: 4, Freshness: standing})
		return
	}
	i.got <- arrival{c, message}
}

func (i *instance) Closed(*transport.Connection, error) { i.closed <- struct{}{} }

func next[M any](i *instance) (*transport.Connection, M) {
	i.t.Helper()
	select {
	case a := <-i.got:
		m, ok := a.message.(M)
		if !ok {
			i.t.Fatalf("got %T, want %T", a.message, m)
		}
		return a.connection, m
	case <-time.After(patience):
		var m M
		i.t.Fatalf("no %T", m)
		return nil, m
	}
}

// force keeps what is put in force.
type force struct {
	seeds   []string
	mutex   sync.Mutex
	applied []dispatch.ViewChanged
	hold    chan struct{} // Apply waits for it, where set
}

func (f *force) ParseConfiguration(document []byte) (*configuration.Configuration, error) {
	if string(document) == "bad" {
		return nil, errors.New("bad")
	}
	return &configuration.Configuration{}, nil
}

func (f *force) Apply(_ context.Context, view dispatch.ViewChanged) error {
	if f.hold != nil {
		<-f.hold
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.applied = append(f.applied, view)
	return nil
}

func (f *force) ReadSeeds() []string { return f.seeds }

func (f *force) last() dispatch.ViewChanged {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.applied[len(f.applied)-1]
}

type quiet struct{ ready chan struct{} }

func (quiet) InstanceFollowed(string)               {}
func (quiet) InstanceLeft(string, error)            {}
func (quiet) ControlPlaneUnreachable(string, error) {}
func (quiet) ConfigurationApplied(int64)            {}
func (q quiet) RouterReady()                        { close(q.ready) }

type world struct {
	*Subscription
	force *force
	log   quiet
}

func start(t *testing.T, instances ...*instance) *world {
	t.Helper()
	w := &world{force: &force{}, log: quiet{ready: make(chan struct{})}}
	for _, i := range instances {
		w.force.seeds = append(w.force.seeds, i.server.Address())
	}
	w.Subscription = New(Config{Node: "n", Zone: "z1", Incarnation: 7, TrustTTL: time.Second}, Dependencies{
		Candidates: NewCandidates("z1", netip.MustParseAddr("127.0.0.1"), rand.New(rand.NewPCG(1, 1))),
		Applier:    w.force,
		Events:     w.log,
	})
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go w.Run(ctx)
	return w
}

var full = protocol.Update{
	Sequence: 1, Generation: 4, Document: []byte("four"), Snapshot: true, Endpoints: []protocol.Endpoint{{ID: "e"}},
}

func TestConfirmedOnlyOnceInForce(t *testing.T) {
	i := newInstance(t)
	w := start(t, i)
	w.force.hold = make(chan struct{})
	c, s := next[*protocol.Subscribe](i)
	if s.EchoSequence == 0 {
		t.Error("no mark")
	}
	if s.EchoSequence = 0; *s != (protocol.Subscribe{Node: "n", Zone: "z1", Incarnation: 7}) {
		t.Errorf("%+v", s)
	}
	c.Send(full)
	select {
	case a := <-i.got:
		t.Fatalf("%T before it was in force", a.message)
	case w.force.hold <- struct{}{}:
	}
	if _, m := next[*protocol.UpdateAck](i); m.Sequence != 1 {
		t.Errorf("%+v", m)
	}
	if w.Ready() {
		t.Error("ready without a confirmation")
	}
	w.Report(protocol.Report{})
	if _, r := next[*protocol.Report](i); r.Node != "n" || r.Incarnation != 7 || r.Sequence != 1 {
		t.Errorf("%+v", r)
	}
	c.Send(protocol.Update{Sequence: 2, Generation: 4, GenerationConfirmed: true})
	w.force.hold <- struct{}{}
	<-w.log.ready
	i.server.Close()
	if !w.Ready() {
		t.Error("not ready any more, since the control plane is away")
	}
}

// What an instance leaves out, keeps back or repeats makes the router ask another one, from what it has.
func TestMovesOn(t *testing.T) {
	for name, amiss := range map[string]func(c *transport.Connection){
		"gap":              func(c *transport.Connection) { c.Send(protocol.Update{Sequence: 3, Generation: 4}) },
		"repeated":         func(c *transport.Connection) { c.Send(protocol.Update{Sequence: 1, Generation: 4}) },
		"beacon of others": func(c *transport.Connection) { c.Send(protocol.Beacon{Sequence: 2, Generation: 4}) },
		"bad document": func(c *transport.Connection) {
			c.Send(protocol.Update{Sequence: 2, Generation: 5, Document: []byte("bad")})
		},
		"closed": func(c *transport.Connection) { c.Close() },
		"silent": func(c *transport.Connection) {},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			a, b := newInstance(t), newInstance(t)
			start(t, a, b)
			first, second := a, b
			var c *transport.Connection
			select {
			case got := <-a.got:
				c = got.connection
			case got := <-b.got:
				c, first, second = got.connection, b, a
			}
			c.Send(full)
			next[*protocol.UpdateAck](first)
			amiss(c)
			if _, s := next[*protocol.Subscribe](second); s.Generation != 4 {
				t.Errorf("%+v", s)
			}
			<-first.closed
		})
	}
}

// A configuration never goes back, and an older one confirmed as the newest makes nobody ready.
func TestOlderConfiguration(t *testing.T) {
	i := newInstance(t)
	w := start(t, i)
	c, _ := next[*protocol.Subscribe](i)
	c.Send(full)
	next[*protocol.UpdateAck](i)
	c.Send(protocol.Update{Sequence: 2, Generation: 3, Document: []byte("three"), GenerationConfirmed: true})
	next[*protocol.UpdateAck](i)
	if w.force.last().Configuration != nil || w.Ready() {
		t.Error("an older configuration was taken")
	}
	c.Send(protocol.Update{Sequence: 3, Generation: 4, Document: []byte("four"), GenerationConfirmed: true})
	next[*protocol.UpdateAck](i)
	if w.force.last().Configuration != nil || !w.Ready() {
		t.Error("the same configuration was not enough, or was taken again")
	}
}

func TestReadyNeedsAWholeTable(t *testing.T) {
	i := newInstance(t)
	w := start(t, i)
	c, _ := next[*protocol.Subscribe](i)
	c.Send(protocol.Update{Sequence: 1, Generation: 4, Document: []byte("four"), GenerationConfirmed: true})
	next[*protocol.UpdateAck](i)
	if w.Ready() {
		t.Error("ready without endpoints")
	}
	c.Send(protocol.Update{Sequence: 2, Generation: 4, Snapshot: true})
	next[*protocol.UpdateAck](i)
	if !w.Ready() {
		t.Error("not ready")
	}
}

// The system's first start: the confirmation comes while there is no configuration yet. What comes later on
// the same connection is committed, and newer.
func TestReadyByTheFirstConfiguration(t *testing.T) {
	i := newInstance(t)
	w := start(t, i)
	c, _ := next[*protocol.Subscribe](i)
	c.Send(protocol.Update{Sequence: 1, Snapshot: true, GenerationConfirmed: true})
	next[*protocol.UpdateAck](i)
	if w.Ready() {
		t.Error("ready without a configuration")
	}
	c.Send(protocol.Update{Sequence: 2, Generation: 4, Document: []byte("four")})
	next[*protocol.UpdateAck](i)
	if !w.Ready() {
		t.Error("not ready")
	}
}

func TestSeedsChange(t *testing.T) {
	i := newInstance(t)
	w := start(t)
	w.SetSeeds([]string{i.server.Address()})
	next[*protocol.Subscribe](i)
}

func TestCourse(t *testing.T) {
	c := NewCandidates("z2", netip.MustParseAddr("10.2.0.9"), rand.New(rand.NewPCG(1, 2)))
	c.SetSeeds([]string{"10.1.0.1:1", "10.2.0.1:1", "10.3.0.1:1"})
	round := func() (list []string, pause time.Duration) {
		pause = c.NextBackoff()
		for _, target := range c.NextRound() {
			list = append(list, target.Address)
		}
		return list, pause
	}
	first, pause := round()
	if first[0] != "10.2.0.1:1" || len(first) != 3 || pause != 0 {
		t.Errorf("first round %v after %v", first, pause)
	}
	for last := time.Duration(0); last < maxRoundBackoff/2; {
		_, pause = round()
		if pause < last/2 || pause > maxRoundBackoff {
			t.Fatalf("pause %v", pause)
		}
		last = max(last+1, pause)
	}
	c.SetMembers([]protocol.Member{
		{Address: "far", Zone: "z1"}, {Address: "near", Zone: "z2"}, {Address: "far2", Zone: "z3"},
	})
	c.Restart("")
	if list, pause := round(); list[0] != "near" || pause != 0 {
		t.Errorf("with members %v after %v", list, pause)
	}
	if !c.HasZoneLocalAlternative("far") || c.HasZoneLocalAlternative("near") {
		t.Error("the wrong instance is nearer")
	}
	c.Restart("near")
	if list, _ := round(); list[len(list)-1] != "near" || len(list) != 6 {
		t.Errorf("the one left comes %v", list)
	}
	if list, _ := round(); list[0] != "near" {
		t.Errorf("the one left comes late twice: %v", list)
	}
}
