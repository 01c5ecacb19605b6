package host

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"raventrestle/internal/control/distribution"
	"raventrestle/internal/control/registry"
	"raventrestle/internal/protocol"
)

// world plays instances, routers and endpoints over a network in virtual time. It checks after each step that
// what was acknowledged as settled is in force.
type world struct {
	now       time.Time
	random    *rand.Rand
	instances []*instance
	routers   []*router
	endpoints []*endpoint
	flying    []flight
	cut       map[[2]int]bool
	loss      float64
	calm      bool // no call is late any more
	tickets   uint64
	asked     map[uint64]asked
	faults    []string
	settled   int
	unsettled int
	refused   int
	next      uint64 // incarnations and connections
}

type instance struct {
	number  int
	address string
	desk    *Desk
	wakeAt  time.Time
	reach   []string
	contact time.Time // newest contact with a majority

	proving  time.Time // of the contact that will be proved next, if it lasts; zero: none
	provenAt time.Time
}

type router struct {
	number     int
	home       int // -1: not connected
	connection distribution.ConnectionID
	next       uint64 // sequence expected
	table      map[string]protocol.Endpoint
	whole      bool
	retryAt    time.Time
}

type endpoint struct {
	id       string
	address  string
	sequence uint64
	state    protocol.EndpointState
	left     bool
	crashed  bool
	beatAt   time.Time
	load     int
}

type asked struct {
	at       time.Time
	endpoint *endpoint
	instance int
	state    protocol.EndpointState
}

// flight is something on its way.
type flight struct {
	at      time.Time
	order   uint64
	deliver func()
}

const (
	worldStep      = 5 * time.Millisecond
	worldHeartbeat = 1200 * time.Millisecond
	worldProof     = 250 * time.Millisecond // a contact is proved within so long
)

func newWorld(seed uint64, instances, routers, endpoints int) *world {
	w := &world{
		now:    time.Unix(1000, 0),
		random: rand.New(rand.NewPCG(seed, seed)),
		cut:    make(map[[2]int]bool),
		asked:  make(map[uint64]asked),
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
	e := &endpoint{id: fmt.Sprintf("e%d", len(w.endpoints)), address: address, beatAt: w.now}
	w.endpoints = append(w.endpoints, e)
	return e
}

func (w *world) restart(n int) {
	i := w.instances[n]
	w.next++
	i.desk = NewDesk(registry.Config{
		Origin:    protocol.Origin{Address: i.address, Incarnation: w.next},
		Heartbeat: worldHeartbeat,
	}, w.now)
	i.reach, i.wakeAt = nil, w.now
	i.contact, i.proving = time.Time{}, time.Time{}
	w.tellReach(n)
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

func (w *world) connected(a, b int) bool { return a == b || !w.cut[[2]int{min(a, b), max(a, b)}] }

func (w *world) reachable(n int) []string {
	var reach []string
	for _, other := range w.instances {
		if other.number != n && w.connected(n, other.number) {
			reach = append(reach, other.address)
		}
	}
	return reach
}

func (w *world) later(least, most time.Duration, deliver func()) {
	w.next++
	delay := least + time.Duration(w.random.Int64N(int64(most-least)))
	w.flying = append(w.flying, flight{at: w.now.Add(delay), order: w.next, deliver: deliver})
}

// run lets time pass.
func (w *world) run(span time.Duration) {
	for end := w.now.Add(span); w.now.Before(end); {
		w.now = w.now.Add(worldStep)
		w.arrive()
		w.beat()
		w.subscribe()
		for n, i := range w.instances {
			if w.random.IntN(40) == 0 { // a cut is noticed a while after it happened
				w.notice(n)
			}
			if !w.now.Before(i.wakeAt) {
				w.step(n, News{})
			}
		}
	}
}

func (w *world) notice(n int) {
	i := w.instances[n]
	if reach := w.reachable(n); !slices.Equal(reach, i.reach) {
		i.reach = reach
		w.tellReach(n)
	}
}

func (w *world) tellReach(n int) {
	i := w.instances[n]
	w.step(n, News{Registry: []registry.Input{registry.Peers{Reachable: i.reach}}})
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
	var due []flight
	kept := w.flying[:0]
	for _, f := range w.flying {
		if f.at.After(w.now) {
			kept = append(kept, f)
			continue
		}
		due = append(due, f)
	}
	w.flying = kept
	for _, f := range due {
		f.deliver()
	}
}

// step lets one instance work and carries out what it orders.
func (w *world) step(n int, news News) {
	i := w.instances[n]
	desk := i.desk
	contact := w.confirm(n)
	news.Hub = append([]distribution.Input{distribution.Contact{Epoch: 1, ConfirmedAt: contact}}, news.Hub...)
	news.Registry = append([]registry.Input{registry.QuorumContact{ConfirmedAt: contact}}, news.Registry...)
	orders := desk.Step(w.now, news)
	i.wakeAt = orders.WakeAt
	for _, closing := range orders.Close {
		for _, r := range w.routers {
			if r.home == n && r.connection == closing.Connection {
				r.disconnect(w.now)
			}
		}
	}
	for _, message := range orders.Routers {
		w.toRouter(n, message)
	}
	for _, message := range orders.Peers {
		w.toPeer(n, message)
	}
	for _, answer := range orders.Acknowledge {
		w.acknowledged(n, answer)
	}
	if orders.Barrier != 0 {
		number := orders.Barrier
		w.later(time.Millisecond, 10*time.Millisecond, func() {
			if w.instances[n].desk == desk {
				w.step(n, News{Hub: []distribution.Input{distribution.BarrierPassed{Barrier: number}}})
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
				w.step(n, News{Registry: []registry.Input{registry.PeerMessage{Content: message.Message}}})
			}
		})
	}
}

// toRouter keeps the order of a connection's messages: each arrives in the step after the one before.
func (w *world) toRouter(n int, message distribution.Send) {
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

func (w *world) update(r *router, connection distribution.ConnectionID, update *protocol.Update) {
	if r.home < 0 || r.connection != connection {
		return
	}
	r.next++
	if update.Sequence != r.next {
		w.fault("router %d: update %d where %d was due", r.number, update.Sequence, r.next)
	}
	if update.Full {
		clear(r.table)
		r.whole = true
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
			w.step(home, News{Hub: []distribution.Input{
				distribution.Confirmed{Connection: connection, Sequence: update.Sequence},
			}})
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
		r.connection, r.next = distribution.ConnectionID(w.next), 0
		w.step(r.home, News{Hub: []distribution.Input{distribution.Subscribed{
			Connection: r.connection,
			Router:     protocol.Subscribe{Node: fmt.Sprintf("r%d", r.number), Incarnation: 1},
		}}})
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
	w.step(home, News{Hub: []distribution.Input{distribution.Closed{Connection: connection}}})
}

// beat has endpoints call; some calls arrive very late.
func (w *world) beat() {
	for _, e := range w.endpoints {
		if e.crashed || e.left || w.now.Before(e.beatAt) {
			continue
		}
		e.beatAt = w.now.Add(worldHeartbeat)
		w.call(e)
	}
}

func (w *world) call(e *endpoint) {
	e.sequence++
	told := protocol.Endpoint{
		ID: e.id, Service: "s", Address: e.address, State: e.state, Sequence: e.sequence,
		Slots: e.load,
	}
	most := 30 * time.Millisecond
	if !w.calm && w.random.IntN(10) == 0 {
		most = 3 * time.Second
	}
	w.later(worldStep, most, func() {
		w.tickets++
		n := w.random.IntN(len(w.instances))
		w.asked[w.tickets] = asked{at: w.now, endpoint: e, instance: n, state: told.State}
		w.step(n, News{Registry: []registry.Input{registry.Heartbeat{RequestID: w.tickets, Endpoint: told}}})
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
	w.later(worldStep, 30*time.Millisecond, func() { w.sayLeft(e) })
}

func (w *world) sayLeft(e *endpoint) {
	w.tickets++
	n := w.random.IntN(len(w.instances))
	w.asked[w.tickets] = asked{at: w.now, endpoint: e, instance: n, state: protocol.Departed}
	w.step(n, News{Registry: []registry.Input{registry.Deregister{RequestID: w.tickets, ID: e.id}}})
}
