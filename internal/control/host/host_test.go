package host

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"raventrestle/coordination/replica"
	"raventrestle/internal/control/replicatest"
	"raventrestle/internal/protocol"
	"raventrestle/internal/transport"
)

const patience = 10 * time.Second // of a test for what must come

// standIn is what the host works with in these tests.
type standIn struct {
	mutex      sync.Mutex
	generation int64
	document   []byte
	reports    chan protocol.Report
}

func (s *standIn) Newest() (int64, []byte) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.generation, s.document
}

func (s *standIn) set(generation int64, document string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.generation, s.document = generation, []byte(document)
}

func (s *standIn) HandleReports(batch *protocol.ReportBatch) {
	for _, report := range batch.Reports {
		s.reports <- report
	}
}

func (s *standIn) RouterSubscribed(string, string, int64) {}
func (s *standIn) RouterClosed(string, string)            {}
func (s *standIn) Isolated(bool, int, int)                {}

// node is a host with its transport on loopback.
type node struct {
	host    *Host
	double  *replicatest.Double
	stand   *standIn
	address string
}

func testCodec() *transport.Codec {
	codec := protocol.NewCodec()
	protocol.RegisterPeerMessages(codec)
	return codec
}

// entrance lets a server listen before its host is there.
type entrance struct{ host *Host }

func (e *entrance) Message(c *transport.Connection, message any) { e.host.Message(c, message) }
func (e *entrance) Closed(c *transport.Connection, err error)    { e.host.Closed(c, err) }

func startNodes(t *testing.T, count int) []*node {
	t.Helper()
	var nodes []*node
	var members []replica.Member
	var entrances []*entrance
	for range count {
		door := &entrance{}
		server, err := transport.Listen("127.0.0.1:0", testCodec(), door)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = server.Close() })
		entrances = append(entrances, door)
		nodes = append(nodes, &node{address: server.Address(), stand: &standIn{reports: make(chan protocol.Report, 16)}})
		members = append(members, replica.Member{Identity: server.Address(), Address: server.Address(), Zone: "z"})
	}
	for n, self := range nodes {
		self.double = replicatest.New(nil, replica.Status{
			Self: members[n],
			View: replica.View{Epoch: 1, Chain: members, Voters: members},
			Live: members,
		})
		mesh := transport.NewMesh(testCodec(), self.address, entrances[n])
		t.Cleanup(mesh.Close)
		self.host = New(Config{
			Origin:    protocol.Origin{Address: self.address, Incarnation: uint64(n + 1)},
			Heartbeat: 200 * time.Millisecond,
			Codec:     testCodec(),
		}, Dependencies{Replica: self.double, Configurations: self.stand, Mesh: mesh, Roles: self.stand, Events: self.stand})
		entrances[n].host = self.host
	}
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	for _, self := range nodes {
		tasks.Add(1)
		go func() {
			defer tasks.Done()
			self.host.Run(ctx)
		}()
	}
	t.Cleanup(func() {
		cancel()
		tasks.Wait()
	})
	return nodes
}

// client is a router's end of a subscription.
type client struct {
	t          *testing.T
	connection *transport.Connection
	updates    chan *protocol.Update
	beacons    chan *protocol.Beacon
	closed     chan struct{}
	mute       bool // it confirms nothing
}

func (c *client) Message(connection *transport.Connection, message any) {
	switch message := message.(type) {
	case *protocol.Update:
		if !c.mute {
			_ = connection.Send(protocol.UpdateAck{Sequence: message.Sequence})
		}
		c.updates <- message
	case *protocol.Beacon:
		select {
		case c.beacons <- message:
		default:
		}
	}
}

func (c *client) Closed(*transport.Connection, error) { close(c.closed) }

func subscribe(t *testing.T, to *node, router protocol.Subscribe, mute bool) *client {
	t.Helper()
	c := &client{
		t: t, updates: make(chan *protocol.Update, 64), beacons: make(chan *protocol.Beacon, 1),
		closed: make(chan struct{}), mute: mute,
	}
	connection, err := transport.Dial(t.Context(), to.address, testCodec(), c)
	if err != nil {
		t.Fatal(err)
	}
	c.connection = connection
	t.Cleanup(connection.Close)
	if err := connection.Send(router); err != nil {
		t.Fatal(err)
	}
	return c
}

// await returns the first update that fits.
func (c *client) await(what string, fits func(update *protocol.Update) bool) *protocol.Update {
	c.t.Helper()
	deadline := time.After(patience)
	for {
		select {
		case update := <-c.updates:
			if fits(update) {
				return update
			}
		case <-deadline:
			c.t.Fatalf("no update: %s", what)
		}
	}
}

func has(update *protocol.Update, id string, state protocol.EndpointState) bool {
	for _, e := range update.Endpoints {
		if e.ID == id && e.State == state {
			return true
		}
	}
	return false
}

func beat(id string, sequence uint64, state protocol.EndpointState) protocol.Endpoint {
	return protocol.Endpoint{
		ID: id, Service: "s", Address: id + ":1", Zone: "z", Slots: 4, State: state,
		Sequence: sequence,
	}
}

// call repeats a heartbeat until the instance takes it: a young one refuses farewells.
func call(t *testing.T, to *node, endpoint protocol.Endpoint) {
	t.Helper()
	deadline := time.Now().Add(patience)
	for {
		err := to.host.Heartbeat(t.Context(), endpoint)
		if err == nil {
			return
		}
		if !errors.Is(err, ErrIsolated) || time.Now().After(deadline) {
			t.Fatal(err)
		}
	}
}

func TestRouterFollowsTheOtherInstance(t *testing.T) {
	nodes := startNodes(t, 2)
	nodes[0].stand.set(7, "seven")
	c := subscribe(t, nodes[0], protocol.Subscribe{Node: "r1"}, false)
	first := c.await("first", func(u *protocol.Update) bool { return u.Sequence == 1 })
	if first.Generation != 7 || string(first.Document) != "seven" {
		t.Errorf("first: %+v", first)
	}
	if !first.GenerationConfirmed {
		c.await("confirmed", func(u *protocol.Update) bool { return u.GenerationConfirmed && u.Generation == 7 })
	}
	call(t, nodes[1], beat("e1", 1, protocol.Ready))
	c.await("ready", func(u *protocol.Update) bool { return has(u, "e1", protocol.Ready) })
	call(t, nodes[1], beat("e1", 2, protocol.Draining))
	// It was acknowledged, so the router has confirmed it: the update must be here.
	for {
		select {
		case update := <-c.updates:
			if has(update, "e1", protocol.Draining) {
				return
			}
			continue
		default:
			t.Fatal("acknowledged before the router had it")
		}
	}
}

func TestNewVersionComesAtOnceAndBeaconsFollow(t *testing.T) {
	nodes := startNodes(t, 1)
	c := subscribe(t, nodes[0], protocol.Subscribe{Node: "r1"}, false)
	c.await("confirmed", func(u *protocol.Update) bool { return u.GenerationConfirmed })
	nodes[0].stand.set(9, "nine")
	status := nodes[0].double.Status()
	status.Committed++
	nodes[0].double.SetStatus(status)
	c.await("version 9", func(u *protocol.Update) bool { return u.Generation == 9 && string(u.Document) == "nine" })
	deadline := time.After(patience)
	for {
		select {
		case beacon := <-c.beacons:
			if beacon.Generation == 9 {
				return
			}
		case <-deadline:
			t.Fatal("no beacon of version 9")
		}
	}
}

func TestConfirmedWaitsForTheBarrier(t *testing.T) {
	nodes := startNodes(t, 1)
	nodes[0].double.SetRejecting(true)
	c := subscribe(t, nodes[0], protocol.Subscribe{Node: "r1"}, false)
	c.await("first", func(u *protocol.Update) bool { return u.Sequence == 1 && !u.GenerationConfirmed })
	nodes[0].double.SetRejecting(false)
	c.await("confirmed", func(u *protocol.Update) bool { return u.GenerationConfirmed })
	if nodes[0].double.BarrierCount() == 0 {
		t.Error("confirmed without a barrier")
	}
}

func TestMuteRouterDelaysFarewellsButNotForLong(t *testing.T) {
	nodes := startNodes(t, 1)
	c := subscribe(t, nodes[0], protocol.Subscribe{Node: "r1"}, true)
	c.await("first", func(u *protocol.Update) bool { return u.Sequence == 1 })
	call(t, nodes[0], beat("e1", 1, protocol.Ready))
	call(t, nodes[0], beat("e0", 1, protocol.Ready))
	call(t, nodes[0], beat("e1", 2, protocol.Draining))
	select {
	case <-c.closed: // it confirmed nothing for seconds
	case <-time.After(patience):
		t.Error("the mute router stays")
	}
}

func TestReportsReachTheHolder(t *testing.T) {
	nodes := startNodes(t, 2)
	c := subscribe(t, nodes[1], protocol.Subscribe{Node: "r1"}, false)
	c.await("first", func(u *protocol.Update) bool { return u.Sequence == 1 })
	if err := c.connection.Send(protocol.Report{Node: "r1", Sequence: 4}); err != nil {
		t.Fatal(err)
	}
	select {
	case report := <-nodes[0].stand.reports:
		if report.Node != "r1" || report.Sequence != 4 {
			t.Errorf("%+v", report)
		}
	case <-time.After(patience):
		t.Error("no report at the head")
	}
}

func TestIsolatedInstanceRefuses(t *testing.T) {
	nodes := startNodes(t, 3)
	call(t, nodes[0], beat("e1", 1, protocol.Ready))
	nodes[0].double.SetPartitioned(true)
	deadline := time.Now().Add(patience)
	for sequence := uint64(2); ; sequence++ {
		err := nodes[0].host.Heartbeat(t.Context(), beat("e1", sequence, protocol.Ready))
		if errors.Is(err, ErrIsolated) {
			return
		}
		if err != nil || time.Now().After(deadline) {
			t.Fatalf("not refused: %v", err)
		}
	}
}

func TestGrantsReachTheirRouter(t *testing.T) {
	nodes := startNodes(t, 1)
	one := subscribe(t, nodes[0], protocol.Subscribe{Node: "r1", Incarnation: 3}, false)
	one.await("first", func(u *protocol.Update) bool { return u.Sequence == 1 })
	nodes[0].host.Grant(map[string][]protocol.RouterGrants{nodes[0].address: {
		{Node: "r1", Incarnation: 2, Grants: []protocol.QuotaGrant{{Tenant: "old"}}},
		{Node: "r1", Incarnation: 3, Grants: []protocol.QuotaGrant{{Tenant: "t", RatePerS: 5}}},
	}})
	update := one.await("grant", func(u *protocol.Update) bool { return len(u.Quotas) > 0 })
	if update.Quotas[0].Tenant != "t" {
		t.Errorf("%+v", update.Quotas)
	}
}
