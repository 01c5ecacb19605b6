package subscription

import (
	"errors"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"raventrestle/internal/protocol"
)

const (
	trustTTL       = time.Second
	networkDelay   = time.Millisecond // of each message, one way
	beaconInterval = 250 * time.Millisecond
)

// testFailer is the part of *testing.T and *rapid.T that a simulated network uses.
type testFailer interface {
	Helper()
	Fatalf(format string, arguments ...any)
}

// simulatedInstance is the state of a control instance, with its injected faults.
type simulatedInstance struct {
	address            string
	clockAtStart       time.Duration // reading of its clock at the start of the network
	driftPerSecond     time.Duration // what its clock gains per second
	epoch              uint64
	majorityContactAt  time.Time     // renewed unless the instance is partitioned or lacks the newest generation
	contactLag         time.Duration // by which its contact is older than possible
	partitioned        bool          // from the majority, not from the router
	refusesConnections bool          // dials fail at once
	blackholed         bool          // dials are never answered
	olderProgram       bool          // answers no probes and proves nothing
	unresponsive       bool          // sends nothing
	sendDelay          time.Duration // added to networkDelay for its messages
	receiveDelay       time.Duration // added to networkDelay for messages to it
	generation         int64
	acks               []uint64 // sequence numbers of updates
	reports            []protocol.Report
}

// simulatedConnection is a connection from the decider to an instance. Messages keep their order in both directions.
type simulatedConnection struct {
	id                    ConnectionID
	instance              *simulatedInstance
	newestEcho            uint64
	lastUpdate            uint64
	subscribed            bool
	closedByRouter        bool
	closedByInstance      bool
	lastArrivalAtRouter   time.Time
	lastArrivalAtInstance time.Time
}

// scheduledEvent is an input of the decider or an action, with the time at which it occurs.
type scheduledEvent struct {
	at            time.Time
	input         Input
	provenContact time.Time // contact of the instance when it sent the message in input
	action        func()
}

// simulatedNetwork runs one decider with simulated instances in simulated time. After each step it checks that FreshAsOf is not
// later than the newest contact that a received message can prove.
type simulatedNetwork struct {
	t                   testFailer
	start               time.Time
	now                 time.Time
	pausedUntil         time.Time // until which the router's process is paused
	newestGeneration    int64     // acknowledged; every instance that is not partitioned has it
	newestProvenContact time.Time // newest contact that an instance had when it sent a message that the router has received
	decider             *Decider
	out                 Output
	instances           map[string]*simulatedInstance
	seeds               []string
	connections         []*simulatedConnection
	scheduled           []scheduledEvent
	nextBeaconAt        time.Time
	events              []Event
	followedInOrder     []string // addresses of the followed instances in order; empty: none was followed
	dials               int
	probes              int
	changes             []*Change
	appliedGeneration   int64
	applyDelay          time.Duration // duration of applying a change
	applyError          error         // result of applying a change; nil: success
	invariant           func()        // called after each step; may be nil
}

// newSimulatedNetwork returns a network with a router in zone z1 and instances in epoch 1 that have generation 4.
func newSimulatedNetwork(t testFailer, addresses ...string) *simulatedNetwork {
	t.Helper()
	begin := time.Unix(1_000_000, 0)
	candidates := NewCandidates("z1", netip.MustParseAddr("10.1.0.9"), rand.New(rand.NewPCG(1, 1)))
	n := &simulatedNetwork{
		t: t, start: begin, now: begin, nextBeaconAt: begin, newestGeneration: 4, instances: make(map[string]*simulatedInstance), seeds: addresses,
	}
	for i, address := range addresses {
		n.instances[address] = &simulatedInstance{address: address, clockAtStart: time.Duration(i+1) * time.Hour, epoch: 1, generation: 4}
	}
	candidates.SetSeeds(addresses)
	n.decider = NewDecider(Config{Node: "n", Zone: "z1", Incarnation: 7, TrustTTL: trustTTL}, candidates)
	return n
}

// freshnessProof returns the proof that an instance sends on a connection now.
func (n *simulatedNetwork) freshnessProof(conn *simulatedConnection) protocol.FreshnessProof {
	instance := conn.instance
	if instance.olderProgram {
		return protocol.FreshnessProof{}
	}
	n.renewContact(instance)
	s := protocol.FreshnessProof{Epoch: instance.epoch, SentAt: instance.clockAtStart + instance.elapsed(n.now.Sub(n.start)), EchoedSequence: conn.newestEcho}
	if !instance.majorityContactAt.IsZero() {
		s.HasMajorityContact, s.MajorityContactAge = true, instance.elapsed(n.now.Sub(instance.majorityContactAt))
	}
	return s
}

// renewContact renews an instance's contact with the majority if the instance is able to have one.
func (n *simulatedNetwork) renewContact(instance *simulatedInstance) {
	if !instance.partitioned && instance.generation == n.newestGeneration {
		instance.majorityContactAt = laterOf(instance.majorityContactAt, n.now.Add(-instance.contactLag))
	}
}

// elapsed converts a duration to the instance's clock.
func (instance *simulatedInstance) elapsed(d time.Duration) time.Duration {
	return d + time.Duration(d.Seconds()*float64(instance.driftPerSecond))
}

// sendToRouter schedules the arrival of an instance's message at the router.
func (n *simulatedNetwork) sendToRouter(conn *simulatedConnection, message any) {
	if conn.instance.unresponsive || conn.closedByInstance {
		return
	}
	conn.lastArrivalAtRouter = laterOf(conn.lastArrivalAtRouter, n.now.Add(networkDelay+conn.instance.sendDelay))
	n.schedule(conn.lastArrivalAtRouter, scheduledEvent{input: MessageReceived{Connection: conn.id, Message: message}, provenContact: conn.instance.majorityContactAt})
}

func (n *simulatedNetwork) scheduleInput(d time.Duration, in Input) {
	n.schedule(n.now.Add(d), scheduledEvent{input: in})
}

func (n *simulatedNetwork) schedule(at time.Time, event scheduledEvent) {
	event.at = at
	i, _ := slices.BinarySearchFunc(n.scheduled, at, func(other scheduledEvent, at time.Time) int {
		if other.at.After(at) {
			return 1
		}
		return -1
	})
	n.scheduled = slices.Insert(n.scheduled, i, event)
}

func (n *simulatedNetwork) step(inputs ...Input) {
	n.t.Helper()
	before := n.out.Following
	n.out = n.decider.Step(n.now, inputs...)
	if !n.out.WakeAt.After(n.now) {
		n.t.Fatalf("wake at: got %v, want a time after now, %v", n.out.WakeAt, n.now)
	}
	if n.out.FreshAsOf.After(n.newestProvenContact) {
		n.t.Fatalf("fresh as of: got %v later than the newest contact proven to the router, want no later", n.out.FreshAsOf.Sub(n.newestProvenContact))
	}
	n.events = append(n.events, n.out.Events...)
	if n.out.Following != before {
		n.followedInOrder = append(n.followedInOrder, n.out.Following)
	}
	for _, dial := range n.out.Dial {
		n.dial(dial)
	}
	for _, send := range n.out.Send {
		n.sendToInstance(send)
	}
	for _, id := range n.out.Close {
		if conn := n.connection(id); conn != nil {
			conn.closedByRouter = true
		}
	}
	if change := n.out.Apply; change != nil {
		n.apply(change)
	}
	if n.out.ReadSeeds {
		n.scheduleInput(0, SeedsRead{Addresses: n.seeds})
	}
	if n.invariant != nil {
		n.invariant()
	}
}

func (n *simulatedNetwork) dial(dial Dial) {
	n.dials++
	if dial.Address == n.out.Following {
		n.t.Fatalf("dial: got %s, want none to the followed instance", dial.Address)
	}
	instance := n.instances[dial.Address]
	switch {
	case instance == nil || instance.refusesConnections:
		n.scheduleInput(networkDelay, ConnectionClosed{Connection: dial.Connection, Err: errors.New("refused")})
	case !instance.blackholed:
		n.connections = append(n.connections, &simulatedConnection{id: dial.Connection, instance: instance})
		n.scheduleInput(networkDelay, ConnectionOpened{Connection: dial.Connection})
	}
}

func (n *simulatedNetwork) sendToInstance(send Send) {
	conn := n.connection(send.Connection)
	if conn == nil {
		return
	}
	if _, isProbe := send.Message.(protocol.Probe); isProbe {
		n.probes++
	}
	conn.lastArrivalAtInstance = laterOf(conn.lastArrivalAtInstance, n.now.Add(networkDelay+conn.instance.receiveDelay))
	n.schedule(conn.lastArrivalAtInstance, scheduledEvent{action: func() {
		if !conn.closedByInstance {
			n.receive(conn, send.Message)
		}
	}})
}

// receive handles a message that arrives at an instance.
func (n *simulatedNetwork) receive(conn *simulatedConnection, message any) {
	switch m := message.(type) {
	case protocol.Probe:
		if !conn.instance.olderProgram {
			conn.newestEcho = max(conn.newestEcho, m.EchoSequence)
			n.sendToRouter(conn, &protocol.ProbeReply{Generation: conn.instance.generation, Freshness: n.freshnessProof(conn)})
		}
	case protocol.Subscribe:
		conn.newestEcho, conn.subscribed = m.EchoSequence, true
		snapshot := !conn.instance.partitioned || conn.instance.olderProgram
		n.sendUpdate(conn, protocol.Update{Snapshot: snapshot, GenerationConfirmed: snapshot}, m.Generation)
	case protocol.UpdateAck:
		conn.newestEcho = max(conn.newestEcho, m.EchoSequence)
		conn.instance.acks = append(conn.instance.acks, m.Sequence)
	case protocol.Report:
		conn.instance.reports = append(conn.instance.reports, m)
	}
}

// sendUpdate sends an update to the router. It contains the document if the router has an older generation.
func (n *simulatedNetwork) sendUpdate(conn *simulatedConnection, u protocol.Update, previousGeneration int64) {
	conn.lastUpdate++
	u.Sequence, u.Generation, u.Freshness = conn.lastUpdate, conn.instance.generation, n.freshnessProof(conn)
	if previousGeneration < u.Generation {
		u.Document = []byte("document")
	}
	n.sendToRouter(conn, &u)
}

func (n *simulatedNetwork) apply(change *Change) {
	n.changes = append(n.changes, change)
	err := n.applyError
	n.schedule(n.now.Add(n.applyDelay), scheduledEvent{input: ChangeApplied{Err: err}})
	if err == nil && change.Document != nil {
		n.schedule(n.now.Add(n.applyDelay), scheduledEvent{action: func() { n.appliedGeneration = max(n.appliedGeneration, change.Generation) }})
	}
}

func (n *simulatedNetwork) connection(id ConnectionID) *simulatedConnection {
	for _, conn := range n.connections {
		if conn.id == id && !conn.closedByRouter {
			return conn
		}
	}
	return nil
}

// run advances the time and executes what becomes due.
func (n *simulatedNetwork) run(d time.Duration) {
	n.t.Helper()
	for end := n.now.Add(d); ; {
		next := laterOf(laterOf(n.now, n.out.WakeAt), n.pausedUntil)
		if len(n.scheduled) > 0 && n.scheduled[0].at.Before(next) {
			next = n.scheduled[0].at
		}
		if n.nextBeaconAt.Before(next) {
			next = n.nextBeaconAt
		}
		if next.After(end) {
			n.now = end
			return
		}
		n.now = next
		n.runScheduled()
	}
}

// runScheduled executes what is due now. Inputs are delayed while the router's process is paused.
func (n *simulatedNetwork) runScheduled() {
	n.t.Helper()
	n.sendBeacons()
	var inputs []Input
	var paused []scheduledEvent
	for len(n.scheduled) > 0 && !n.scheduled[0].at.After(n.now) {
		event := n.scheduled[0]
		n.scheduled = n.scheduled[1:]
		switch {
		case event.action != nil:
			event.action()
		case n.now.Before(n.pausedUntil):
			paused = append(paused, event)
		default:
			inputs = append(inputs, event.input)
			n.newestProvenContact = laterOf(n.newestProvenContact, event.provenContact)
		}
	}
	for _, event := range paused {
		n.schedule(n.pausedUntil, event)
	}
	if !n.now.Before(n.pausedUntil) && (len(inputs) > 0 || !n.now.Before(n.out.WakeAt)) {
		n.step(inputs...)
	}
}

func (n *simulatedNetwork) sendBeacons() {
	if n.now.Before(n.nextBeaconAt) {
		return
	}
	n.nextBeaconAt = n.now.Add(beaconInterval)
	for _, conn := range n.connections {
		if conn.subscribed && !conn.closedByRouter {
			n.sendToRouter(conn, &protocol.Beacon{Sequence: conn.lastUpdate, Generation: conn.instance.generation, Freshness: n.freshnessProof(conn)})
		}
	}
}

// stopInstance ends an instance's process: its connections close, and dials are refused.
func (n *simulatedNetwork) stopInstance(instance *simulatedInstance) {
	instance.refusesConnections = true
	n.closeConnections(instance)
}

// closeConnections closes an instance's connections.
func (n *simulatedNetwork) closeConnections(instance *simulatedInstance) {
	for _, conn := range n.connections {
		if conn.instance == instance && !conn.closedByRouter && !conn.closedByInstance {
			conn.closedByInstance = true
			n.scheduleInput(networkDelay, ConnectionClosed{Connection: conn.id, Err: errors.New("reset")})
		}
	}
}

// setGeneration makes an instance receive a generation, which it sends to the router if that is subscribed.
func (n *simulatedNetwork) setGeneration(instance *simulatedInstance, generation int64) {
	previousGeneration := instance.generation
	instance.generation = generation
	for _, conn := range n.connections {
		if conn.instance == instance && conn.subscribed && !conn.closedByRouter {
			n.sendUpdate(conn, protocol.Update{}, previousGeneration)
		}
	}
}

// commitConfiguration acknowledges a new generation, which all instances that are not partitioned receive.
func (n *simulatedNetwork) commitConfiguration() {
	n.newestGeneration++
	for _, address := range n.seeds {
		if instance := n.instances[address]; !instance.partitioned {
			n.setGeneration(instance, n.newestGeneration)
		}
	}
}

// followedConnection returns the connection to the followed instance.
func (n *simulatedNetwork) followedConnection() *simulatedConnection {
	n.t.Helper()
	for _, conn := range n.connections {
		if conn.subscribed && !conn.closedByRouter && conn.instance.address == n.out.Following {
			return conn
		}
	}
	n.t.Fatalf("followed at %v: got none, want an instance; events %v", n.now.Sub(n.start), n.events)
	return nil
}

func (n *simulatedNetwork) followedInstance() *simulatedInstance {
	n.t.Helper()
	return n.followedConnection().instance
}

func (n *simulatedNetwork) others(instance *simulatedInstance) []*simulatedInstance {
	var others []*simulatedInstance
	for _, address := range n.seeds {
		if n.instances[address] != instance {
			others = append(others, n.instances[address])
		}
	}
	return others
}

// reasonsForLeaving returns the errors with which instances were left.
func (n *simulatedNetwork) reasonsForLeaving() (reasons []error) {
	for _, event := range n.events {
		if e, ok := event.(InstanceLeft); ok {
			reasons = append(reasons, e.Err)
		}
	}
	return reasons
}

// newTrustingRouter starts a network and runs it until its router trusts an instance and is ready.
func newTrustingRouter(t *testing.T, addresses ...string) *simulatedNetwork {
	t.Helper()
	n := newSimulatedNetwork(t, addresses...)
	n.run(3 * time.Second)
	if !n.out.Trusted || !n.out.Ready {
		t.Fatalf("after 3 s: got %+v, want a trusted instance and ready; events %v", n.out, n.events)
	}
	return n
}

// awaitLeft runs the network until an instance is left, and returns how long that took in simulated time.
func (n *simulatedNetwork) awaitLeft(instance *simulatedInstance, timeout time.Duration) (took time.Duration) {
	n.t.Helper()
	for begin := n.now; n.out.Following == instance.address; {
		if n.now.Sub(begin) > timeout {
			n.t.Fatalf("%s: followed for more than %v, want it left; events %v", instance.address, timeout, n.events)
		}
		n.run(time.Millisecond)
		took = n.now.Sub(begin)
	}
	return took
}

var threeInstances = []string{"10.1.0.1:1", "10.2.0.1:1", "10.3.0.1:1"}
