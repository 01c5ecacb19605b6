package host

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"raventrestle/coordination/replica"
	"raventrestle/internal/control/departures"
	"raventrestle/internal/control/replicatest"
	"raventrestle/internal/control/state"
	"raventrestle/internal/protocol"
	"raventrestle/internal/transport"
)

const testTimeout = 10 * time.Second // for what must happen

// fakeDependencies stands in for the host's collaborators, beside the replica.
type fakeDependencies struct {
	mutex      sync.Mutex
	generation int64
	document   []byte
	reports    chan protocol.Report
	machine    *state.Machine // that the replica applies departures to
}

func (f *fakeDependencies) Newest() (int64, []byte) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.generation, f.document
}

func (f *fakeDependencies) Departures() departures.Table { return f.machine.Departures() }

func (f *fakeDependencies) set(generation int64, document string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.generation, f.document = generation, []byte(document)
}

func (f *fakeDependencies) HandleReports(batch *protocol.ReportBatch) {
	for _, report := range batch.Reports {
		f.reports <- report
	}
}

func (f *fakeDependencies) RouterSubscribed(string, string, int64) {}
func (f *fakeDependencies) RouterClosed(string, string)            {}
func (f *fakeDependencies) QuorumChanged(bool, int, int)           {}

// node is a host with its transport on the loopback interface.
type node struct {
	host    *Host
	replica *replicatest.Double
	fake    *fakeDependencies
	handler *lateHandler
	address string
}

func testCodec() *transport.Codec {
	codec := protocol.NewCodec()
	protocol.RegisterPeerMessages(codec)
	return codec
}

// lateHandler lets a server listen before its host is made.
type lateHandler struct{ host *Host }

func (l *lateHandler) Message(c *transport.Connection, message any) { l.host.Message(c, message) }
func (l *lateHandler) Closed(c *transport.Connection, err error)    { l.host.Closed(c, err) }

// startNodes starts hosts that know each other as members of one chain; they run until the test ends.
func startNodes(t *testing.T, count int) []*node {
	t.Helper()
	var nodes []*node
	var members []replica.Member
	for range count {
		n := listen(t)
		nodes = append(nodes, n)
		members = append(members, replica.Member{Identity: n.address, Address: n.address, Zone: "z"})
	}
	for n, self := range nodes {
		self.replica = replicatest.New(self.fake.machine, replica.Status{
			Self:        members[n],
			View:        replica.View{Epoch: 1, Chain: members, Voters: members},
			LiveMembers: members,
		})
		mesh := transport.NewMesh(testCodec(), self.address, self.handler)
		t.Cleanup(mesh.Close)
		self.host = New(Config{
			Origin:    protocol.Origin{Address: self.address, Incarnation: uint64(n + 1)},
			Heartbeat: 200 * time.Millisecond,
			Codec:     testCodec(),
		}, Dependencies{Replica: self.replica, Configurations: self.fake, Mesh: mesh, Roles: self.fake, Events: self.fake})
		self.handler.host = self.host
	}
	run(t, nodes)
	return nodes
}

// listen makes a node that listens and has no host yet.
func listen(t *testing.T) *node {
	t.Helper()
	handler := &lateHandler{}
	server, err := transport.Listen("127.0.0.1:0", testCodec(), handler)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = server.Close() })
	return &node{
		address: server.Address(), handler: handler, fake: &fakeDependencies{reports: make(chan protocol.Report, 16), machine: state.New()},
	}
}

// run runs the hosts until the test ends.
func run(t *testing.T, nodes []*node) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	for _, n := range nodes {
		tasks.Go(func() { n.host.Run(ctx) })
	}
	t.Cleanup(func() {
		cancel()
		tasks.Wait()
	})
}

// client is a router's end of a subscription.
type client struct {
	t               *testing.T
	connection      *transport.Connection
	updates         chan *protocol.Update
	beacons         chan *protocol.Beacon
	closed          chan struct{}
	confirmsNothing bool
}

func (c *client) Message(connection *transport.Connection, message any) {
	switch message := message.(type) {
	case *protocol.Update:
		if !c.confirmsNothing {
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
		closed: make(chan struct{}), confirmsNothing: mute,
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
	deadline := time.After(testTimeout)
	for {
		select {
		case update := <-c.updates:
			if fits(update) {
				return update
			}
		case <-deadline:
			c.t.Fatalf("no update after %v, want: %s", testTimeout, what)
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

func endpointAs(id string, sequence uint64, state protocol.EndpointState) protocol.Endpoint {
	return protocol.Endpoint{
		ID: id, Service: "s", Address: id + ":1", Zone: "z", Slots: 4, State: state,
		Sequence: sequence,
	}
}

// call repeats a heartbeat until the instance accepts it: one that has just started rejects those of draining endpoints.
func call(t *testing.T, to *node, endpoint protocol.Endpoint) {
	t.Helper()
	deadline := time.Now().Add(testTimeout)
	for {
		err := to.host.Heartbeat(t.Context(), endpoint)
		if err == nil {
			return
		}
		if !errors.Is(err, ErrRejected) || time.Now().After(deadline) {
			t.Fatal(err)
		}
	}
}

func TestRouterFollowsTheOtherInstance(t *testing.T) {
	nodes := startNodes(t, 2)
	nodes[0].fake.set(7, "seven")
	c := subscribe(t, nodes[0], protocol.Subscribe{Node: "r1"}, false)
	first := c.await("first", func(u *protocol.Update) bool { return u.Sequence == 1 })
	if first.Generation != 7 || string(first.Document) != "seven" {
		t.Errorf("first update %+v, want version 7 with its document", first)
	}
	if !first.GenerationConfirmed {
		c.await("confirmed", func(u *protocol.Update) bool { return u.GenerationConfirmed && u.Generation == 7 })
	}
	call(t, nodes[1], endpointAs("e1", 1, protocol.Ready))
	c.await("ready", func(u *protocol.Update) bool { return has(u, "e1", protocol.Ready) })
	call(t, nodes[1], endpointAs("e1", 2, protocol.Draining))
	// It was acknowledged, so the router has confirmed it: the update must be here.
	for {
		select {
		case update := <-c.updates:
			if has(update, "e1", protocol.Draining) {
				return
			}
			continue
		default:
			t.Fatal("the drain is acknowledged, but the router has no update with it")
		}
	}
}

func TestNewConfigurationIsSentAtOnceAndInBeacons(t *testing.T) {
	nodes := startNodes(t, 1)
	c := subscribe(t, nodes[0], protocol.Subscribe{Node: "r1"}, false)
	c.await("confirmed", func(u *protocol.Update) bool { return u.GenerationConfirmed })
	nodes[0].fake.set(9, "nine")
	status := nodes[0].replica.Status()
	status.CommitIndex++
	nodes[0].replica.SetStatus(status)
	c.await("version 9", func(u *protocol.Update) bool { return u.Generation == 9 && string(u.Document) == "nine" })
	deadline := time.After(testTimeout)
	for {
		select {
		case beacon := <-c.beacons:
			if beacon.Generation == 9 {
				return
			}
		case <-deadline:
			t.Fatalf("no beacon of version 9 after %v", testTimeout)
		}
	}
}

func TestConfirmedWaitsForTheBarrier(t *testing.T) {
	nodes := startNodes(t, 1)
	nodes[0].replica.SetRejecting(true)
	c := subscribe(t, nodes[0], protocol.Subscribe{Node: "r1"}, false)
	c.await("first", func(u *protocol.Update) bool { return u.Sequence == 1 && !u.GenerationConfirmed })
	nodes[0].replica.SetRejecting(false)
	c.await("confirmed", func(u *protocol.Update) bool { return u.GenerationConfirmed })
	if nodes[0].replica.BarrierCount() == 0 {
		t.Error("confirmed after 0 barriers, want 1 at least")
	}
}

func TestRouterThatConfirmsNothingIsClosedAndDelaysDrainsNoLonger(t *testing.T) {
	nodes := startNodes(t, 1)
	c := subscribe(t, nodes[0], protocol.Subscribe{Node: "r1"}, true)
	c.await("first", func(u *protocol.Update) bool { return u.Sequence == 1 })
	call(t, nodes[0], endpointAs("e1", 1, protocol.Ready))
	call(t, nodes[0], endpointAs("e0", 1, protocol.Ready))
	call(t, nodes[0], endpointAs("e1", 2, protocol.Draining))
	select {
	case <-c.closed: // it confirmed nothing for seconds
	case <-time.After(testTimeout):
		t.Errorf("the connection of a router that confirms nothing is open after %v, want it closed", testTimeout)
	}
}

func TestReportsReachTheLeader(t *testing.T) {
	nodes := startNodes(t, 2)
	c := subscribe(t, nodes[1], protocol.Subscribe{Node: "r1"}, false)
	c.await("first", func(u *protocol.Update) bool { return u.Sequence == 1 })
	if err := c.connection.Send(protocol.Report{Node: "r1", Sequence: 4}); err != nil {
		t.Fatal(err)
	}
	select {
	case report := <-nodes[0].fake.reports:
		if report.Node != "r1" || report.Sequence != 4 {
			t.Errorf("report %+v, want number 4 of r1", report)
		}
	case <-time.After(testTimeout):
		t.Errorf("no report at the chain's head after %v, want one", testTimeout)
	}
}

func TestInstanceWithoutQuorumRejectsHeartbeats(t *testing.T) {
	nodes := startNodes(t, 3)
	call(t, nodes[0], endpointAs("e1", 1, protocol.Ready))
	nodes[0].replica.SetPartitioned(true)
	deadline := time.Now().Add(testTimeout)
	for sequence := uint64(2); ; sequence++ {
		err := nodes[0].host.Heartbeat(t.Context(), endpointAs("e1", sequence, protocol.Ready))
		if errors.Is(err, ErrRejected) {
			return
		}
		if err != nil || time.Now().After(deadline) {
			t.Fatalf("heartbeat to an isolated instance: error %v, want %v", err, ErrRejected)
		}
	}
}

// An end is acknowledged only once the group has committed it, and one that can't be committed is refused by name.
func TestEndsAreRecordedBeforeTheyAreAcknowledged(t *testing.T) {
	nodes := startNodes(t, 1)
	call(t, nodes[0], endpointAs("e1", 1, protocol.Ready))
	call(t, nodes[0], endpointAs("e1", 2, protocol.Draining)) // the instance has run for long enough once it accepts this
	if !nodes[0].fake.Departures().Covers(departures.Departure{ID: "e1", Sequence: 2}) {
		t.Errorf("acknowledged with %+v recorded, want the draining of e1", nodes[0].fake.Departures())
	}
	nodes[0].replica.SetRejecting(true)
	if err := nodes[0].host.Deregister(t.Context(), "e1"); !errors.Is(err, ErrUnrecorded) {
		t.Errorf("without a commitment: got %v, want %v", err, ErrUnrecorded)
	}
	nodes[0].replica.SetRejecting(false)
	nodes[0].replica.SetStalled(true)
	began := time.Now()
	if err := nodes[0].host.Deregister(t.Context(), "e1"); !errors.Is(err, ErrUnrecorded) {
		t.Errorf("with a disk that stalls: got %v after %v, want %v", err, time.Since(began), ErrUnrecorded)
	}
	nodes[0].replica.SetStalled(false)
	if err := nodes[0].host.Deregister(t.Context(), "e1"); err != nil {
		t.Errorf("once commitments are possible again: got %v", err)
	}
	if !nodes[0].fake.Departures().Covers(departures.Departure{ID: "e1", Deregistered: true}) {
		t.Errorf("acknowledged with %+v recorded, want the deregistration of e1", nodes[0].fake.Departures())
	}
}
