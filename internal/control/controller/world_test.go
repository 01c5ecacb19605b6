package controller

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"raventrestle/coordination/replica"
	"raventrestle/internal/control/registry"
	"raventrestle/internal/protocol"
)

// world simulates instances, routers and endpoints on a network in virtual time. It checks at each answer to an endpoint
// that what is acknowledged as in force is in force.
type world struct {
	now         time.Time
	random      *rand.Rand
	instances   []*instance
	routers     []*router
	endpoints   []*endpoint
	inTransit   []delivery
	partitioned map[[2]int]bool // pairs of instances, the lower number first
	loss        float64         // share of the messages between instances that are lost
	calm        bool            // no call is late any more
	tickets     uint64
	calls       map[uint64]call // that wait for their answers
	faults      []string
	inForce     int // answers to drains and deregistrations, by result
	notInForce  int
	rejected    int
	next        uint64 // incarnations and connections
}

type instance struct {
	number     int
	address    string
	controller *Controller
	wakeAt     time.Time
	reach      []string  // other instances, as it noticed last
	contact    time.Time // newest contact with a majority

	proving  time.Time // of the contact that will be proved next, if it lasts; zero: none
	provenAt time.Time
}

type router struct {
	number     int
	home       int // -1: not connected
	connection uint64
	next       uint64 // sequence expected
	table      map[string]protocol.Endpoint
	complete   bool // its table replaced an earlier one
	retryAt    time.Time
}

type endpoint struct {
	id          string
	address     string
	sequence    uint64
	state       protocol.EndpointState
	left        bool
	crashed     bool
	heartbeatAt time.Time
	load        int
}

// call is an endpoint's call at an instance.
type call struct {
	at       time.Time
	endpoint *endpoint
	instance int
	state    protocol.EndpointState
}

// delivery is a message in transit.
type delivery struct {
	at      time.Time
	order   uint64
	deliver func()
}

const (
	worldStep      = 5 * time.Millisecond
	worldHeartbeat = 1200 * time.Millisecond
	worldProof     = 250 * time.Millisecond // a contact is proved after this time at most
)

func newWorld(seed uint64, instances, routers, endpoints int) *world {
	w := &world{
		now:         time.Unix(1000, 0),
		random:      rand.New(rand.NewPCG(seed, seed)),
		partitioned: make(map[[2]int]bool),
		calls:       make(map[uint64]call),
	}
	for n := range instances {
		w.instances = append(w.instances, &instance{number: n, address: fmt.Sprintf("c%d", n)})
	}
	for n := range instances {
		w.restart(n)
	}
	for n := range routers {
		w.routers = append(w.routers, &router{number: n, home: -1, table: make(map[string]protocol.Endpoint)})
	}
	for range endpoints {
		w.addEndpoint(fmt.Sprintf("address%d", len(w.endpoints)))
	}
	return w
}

func (w *world) addEndpoint(address string) *endpoint {
	e := &endpoint{id: fmt.Sprintf("e%d", len(w.endpoints)), address: address, heartbeatAt: w.now}
	w.endpoints = append(w.endpoints, e)
	return e
}

func (w *world) restart(n int) {
	i := w.instances[n]
	w.next++
	origin := protocol.Origin{Address: i.address, Incarnation: w.next}
	endpoints := registry.New(registry.Config{Origin: origin, Heartbeat: worldHeartbeat}, w.now)
	i.controller = New(Config{Origin: origin}, endpoints, w.now)
	i.reach, i.wakeAt = nil, w.now
	i.contact, i.proving = time.Time{}, time.Time{}
	w.observeReach(n)
	for _, r := range w.routers {
		if r.home == n {
			r.disconnect(w.now)
		}
	}
}

func (r *router) disconnect(now time.Time) {
	r.home = -1
	r.retryAt = now.Add(20 * time.Millisecond)
}

func (w *world) connected(a, b int) bool {
	return a == b || !w.partitioned[[2]int{min(a, b), max(a, b)}]
}

func (w *world) reachable(n int) []string {
	var reach []string
	for _, other := range w.instances {
		if other.number != n && w.connected(n, other.number) {
			reach = append(reach, other.address)
		}
	}
	return reach
}

func (w *world) later(minDelay, maxDelay time.Duration, deliver func()) {
	w.next++
	delay := minDelay + time.Duration(w.random.Int64N(int64(maxDelay-minDelay)))
	w.inTransit = append(w.inTransit, delivery{at: w.now.Add(delay), order: w.next, deliver: deliver})
}

// run lets time pass.
func (w *world) run(span time.Duration) {
	for end := w.now.Add(span); w.now.Before(end); {
		w.now = w.now.Add(worldStep)
		w.arrive()
		w.sendHeartbeats()
		w.subscribe()
		for n, i := range w.instances {
			if w.random.IntN(40) == 0 { // a partition is noticed a while after it began
				w.notice(n)
			}
			if !w.now.Before(i.wakeAt) {
				w.step(n)
			}
		}
	}
}

func (w *world) notice(n int) {
	i := w.instances[n]
	if reach := w.reachable(n); !slices.Equal(reach, i.reach) {
		i.reach = reach
		w.observeReach(n)
	}
}

func (w *world) observeReach(n int) {
	w.step(n, ReplicaChanged{})
}

// status is what the replica of an instance publishes: who is live as it noticed last, and its contact with a majority.
func (w *world) status(n int) replica.Status {
	i := w.instances[n]
	status := replica.Status{View: replica.View{Epoch: 1}, ConfirmedAt: w.confirm(n)}
	for _, other := range w.instances {
		member := replica.Member{Identity: other.address, Address: other.address}
		status.View.Voters = append(status.View.Voters, member)
		if other == i {
			status.Self = member
		}
		if other == i || slices.Contains(i.reach, other.address) {
			status.LiveMembers = append(status.LiveMembers, member)
		}
	}
	status.View.Chain = status.View.Voters
	return status
}

// confirm notes contact with a majority, as the replica would: it proves a moment that is some time ago.
func (w *world) confirm(n int) time.Time {
	i := w.instances[n]
	if 2*(len(w.reachable(n))+1) <= len(w.instances) {
		i.proving = time.Time{}
		return i.contact
	}
	if i.proving.IsZero() {
		i.proving = w.now
		i.provenAt = w.now.Add(time.Duration(w.random.Int64N(int64(worldProof))))
	}
	if !w.now.Before(i.provenAt) {
		i.contact, i.proving = i.proving, time.Time{}
	}
	return i.contact
}

func (w *world) arrive() {
	var due []delivery
	kept := w.inTransit[:0]
	for _, f := range w.inTransit {
		if f.at.After(w.now) {
			kept = append(kept, f)
			continue
		}
		due = append(due, f)
	}
	w.inTransit = kept
	for _, f := range due {
		f.deliver()
	}
}

// step lets one instance work and carries out its output.
func (w *world) step(n int, events ...Event) {
	i := w.instances[n]
	controller := i.controller
	output := controller.Step(w.now, Input{Replicated: ReplicatedState{Status: w.status(n)}, Events: events})
	i.wakeAt = output.WakeAt
	for _, closing := range output.Close {
		for _, r := range w.routers {
			if r.home == n && r.connection == closing.Connection {
				r.disconnect(w.now)
			}
		}
	}
	for _, message := range output.RouterMessages {
		w.toRouter(n, message)
	}
	for _, message := range output.PeerMessages {
		w.toPeer(n, message)
	}
	for _, answer := range output.Answers {
		w.acknowledged(n, answer)
	}
	if output.StartBarrier != 0 {
		number := output.StartBarrier
		w.later(time.Millisecond, 10*time.Millisecond, func() {
			if w.instances[n].controller == controller {
				w.step(n, BarrierFinished{Number: number, Succeeded: true})
			}
		})
	}
}

func (w *world) toPeer(from int, message registry.Send) {
	if w.random.Float64() < w.loss {
		return
	}
	for n, i := range w.instances {
		if i.address != message.To {
			continue
		}
		w.later(time.Millisecond, 12*time.Millisecond, func() {
			if w.connected(from, n) {
				w.step(n, MessageReceived{Message: message.Message})
			}
		})
	}
}

// toRouter keeps the order of a connection's messages: each arrives in the step after the one before.
func (w *world) toRouter(n int, message RouterMessage) {
	for _, r := range w.routers {
		if r.home != n || r.connection != message.Connection {
			continue
		}
		update, isUpdate := message.Message.(*protocol.Update)
		if !isUpdate {
			continue
		}
		connection := r.connection
		w.later(worldStep, worldStep+1, func() { w.update(r, connection, update) })
	}
}

func (w *world) update(r *router, connection uint64, update *protocol.Update) {
	if r.home < 0 || r.connection != connection {
		return
	}
	r.next++
	if update.Sequence != r.next {
		w.fault("router %d: update %d where %d was due", r.number, update.Sequence, r.next)
	}
	if update.Snapshot {
		clear(r.table)
		r.complete = true
	}
	for _, e := range update.Endpoints {
		if e.State == protocol.Departed {
			delete(r.table, e.ID)
			continue
		}
		r.table[e.ID] = e
	}
	home := r.home
	w.later(worldStep, 3*worldStep, func() {
		if r.home == home && r.connection == connection {
			confirm := &protocol.UpdateAck{Sequence: update.Sequence}
			w.step(home, MessageReceived{Connection: connection, Message: confirm})
		}
	})
}

func (w *world) subscribe() {
	for _, r := range w.routers {
		if r.home >= 0 || w.now.Before(r.retryAt) {
			continue
		}
		w.next++
		r.home = w.random.IntN(len(w.instances))
		r.connection, r.next = w.next, 0
		router := &protocol.Subscribe{Node: fmt.Sprintf("r%d", r.number), Incarnation: 1}
		w.step(r.home, MessageReceived{Connection: r.connection, Message: router})
	}
}

// move has a router leave its instance for another.
func (w *world) move(number int) {
	r := w.routers[number%len(w.routers)]
	if r.home < 0 {
		return
	}
	home, connection := r.home, r.connection
	r.disconnect(w.now)
	w.step(home, ConnectionClosed{Connection: connection})
}

// sendHeartbeats has endpoints call when their interval is over; some calls arrive very late.
func (w *world) sendHeartbeats() {
	for _, e := range w.endpoints {
		if e.crashed || e.left || w.now.Before(e.heartbeatAt) {
			continue
		}
		e.heartbeatAt = w.now.Add(worldHeartbeat)
		w.call(e)
	}
}

func (w *world) call(e *endpoint) {
	e.sequence++
	reported := protocol.Endpoint{
		ID: e.id, Service: "s", Address: e.address, State: e.state, Sequence: e.sequence,
		Slots: e.load,
	}
	maxDelay := 30 * time.Millisecond
	if !w.calm && w.random.IntN(10) == 0 {
		maxDelay = 3 * time.Second
	}
	w.later(worldStep, maxDelay, func() {
		w.tickets++
		n := w.random.IntN(len(w.instances))
		w.calls[w.tickets] = call{at: w.now, endpoint: e, instance: n, state: reported.State}
		w.step(n, HeartbeatReceived{Caller: w.tickets, Endpoint: reported})
	})
}

func (w *world) drain(e *endpoint) {
	if e.left || e.crashed || e.state == protocol.Draining {
		return
	}
	e.state = protocol.Draining
	w.call(e)
}

func (w *world) leave(e *endpoint) {
	if e.left || e.crashed {
		return
	}
	e.left = true
	w.later(worldStep, 30*time.Millisecond, func() { w.sendDeregistration(e) })
}

func (w *world) sendDeregistration(e *endpoint) {
	w.tickets++
	n := w.random.IntN(len(w.instances))
	w.calls[w.tickets] = call{at: w.now, endpoint: e, instance: n, state: protocol.Departed}
	w.step(n, DeregistrationReceived{Caller: w.tickets, ID: e.id})
}
