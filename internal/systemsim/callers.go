package systemsim

import (
	"fmt"
	"time"

	"raventrestle/internal/protocol"
)

// Times of callers.
const (
	callPatience = time.Second
	leastRetry   = 50 * time.Millisecond
	mostRetry    = 400 * time.Millisecond
	mostTries    = 10
	leaveAnyway  = 6 * time.Second // of an endpoint whose draining nobody acknowledges
)

// answerCode is the status of an answer to an operator.
type answerCode int

const (
	codeTaken       answerCode = 200
	codeBad         answerCode = 400
	codeMismatch    answerCode = 412
	codeUnavailable answerCode = 503
)

type changeAnswer struct {
	code       answerCode
	generation int64
}

// order is an operator's change, which may be sent more than once.
type order struct {
	name         string
	base         int64
	generation   int64
	body         []byte
	tries        int
	acknowledged bool // an acknowledgement has left an instance, whether it came or not
}

// caller is a machine beside the world's processes that calls instances.
type caller struct {
	process
	first      *instance // asked first, if set
	isOperator bool
}

func newCaller(w *World, name string, zone int) caller {
	return caller{process: process{world: w, address: name, zone: zone, running: true, powered: true}}
}

// target chooses an instance for a try.
func (c *caller) target(try int) *instance {
	if c.first != nil && try == 0 {
		return c.first
	}
	return c.world.instances[c.world.random.IntN(len(c.world.instances))]
}

// operator changes the configuration, on top of the newest version that it knows.
type operator struct {
	caller
	base   int64
	orders int
}

func (w *World) addOperator(number int) {
	o := &operator{caller: newCaller(w, fmt.Sprintf("operator-%d", number), number%zones)}
	o.isOperator = true
	w.callers = append(w.callers, &o.caller)
	w.After(w.between(500*time.Millisecond, 1500*time.Millisecond), o.next)
}

// next makes a change; at times two rivals on the same version at the same moment.
func (o *operator) next() {
	w := o.world
	if w.quiet {
		return
	}
	made := o.order()
	o.send(made, o.after)
	if w.oneIn(5) {
		rival := o.order()
		if w.oneIn(2) {
			rival.generation = made.generation
			rival.write()
		}
		o.send(rival, func(*order) {})
	}
}

func (o *operator) order() *order {
	o.orders++
	made := &order{
		name: fmt.Sprintf("%s-%d", o.address, o.orders), base: o.base, generation: o.base + 1 + o.world.random.Int64N(3),
	}
	made.write()
	return made
}

func (o *order) write() {
	o.body = fmt.Appendf(nil, `{"generation":%d,"routes":[],"services":[{"name":%q}]}`, o.generation, o.name)
}

// after goes on once an order is decided or given up.
func (o *operator) after(*order) {
	w := o.world
	pause := w.between(30*time.Millisecond, 400*time.Millisecond)
	if w.oneIn(6) {
		pause = w.between(time.Second, 4*time.Second)
	}
	w.After(pause, o.next)
}

// send sends an order, again and again until it is decided.
func (o *operator) send(sent *order, done func(*order)) {
	w := o.world
	to := o.target(sent.tries)
	sent.tries++
	o.call(to, sent, func(answer changeAnswer) {
		lost := w.oneIn(8)
		switch {
		case answer.code == codeTaken && !lost:
			o.base = max(o.base, answer.generation)
			o.repeat(sent)
			done(sent)
		case answer.code == codeMismatch && !lost:
			o.base = max(o.base, answer.generation)
			done(sent)
		case sent.tries < mostTries && !w.quiet:
			w.After(w.between(leastRetry, mostRetry), func() { o.send(sent, done) })
		default:
			o.read(func() { done(sent) })
		}
	})
}

// call sends an order to one instance. An answer of no code means that none came.
func (o *operator) call(to *instance, sent *order, done func(changeAnswer)) {
	w := o.world
	ask := func(answer func(any)) { to.change(sent, answer) }
	w.network.call(&o.process, &to.process, callPatience, ask, func(result any) {
		answer, _ := result.(changeAnswer)
		done(answer)
	})
}

// repeat sends an acknowledged order once more, as after a lost answer.
func (o *operator) repeat(sent *order) {
	w := o.world
	if !w.oneIn(3) {
		return
	}
	w.After(w.between(0, 3*time.Second), func() {
		o.call(o.target(1), sent, func(changeAnswer) {})
	})
}

// read asks for the newest version until somebody tells it.
func (o *operator) read(done func()) {
	w := o.world
	to := o.target(1)
	w.network.call(&o.process, &to.process, callPatience, to.read, func(result any) {
		answer, _ := result.(changeAnswer)
		if answer.code != codeTaken {
			w.After(w.between(leastRetry, mostRetry), func() { o.read(done) })
			return
		}
		o.base = max(o.base, answer.generation)
		done()
	})
}

// endpoint is a model server as the control plane sees it.
type endpoint struct {
	caller
	id       string
	sequence uint64
	state    protocol.EndpointState
	over     bool
	tries    int
	since    time.Duration // it says that it ends
}

func (w *World) addEndpoint() {
	number := len(w.endpoints)
	e := &endpoint{
		caller: newCaller(w, fmt.Sprintf("10.%d.2.%d:8080", number%zones, number), number%zones),
		id:     fmt.Sprintf("e%d", number),
	}
	w.endpoints = append(w.endpoints, e)
	w.callers = append(w.callers, &e.caller)
	w.After(w.between(0, heartbeatEvery), e.beat)
	w.After(w.between(4*time.Second, 25*time.Second), e.retire)
}

// beat says how the endpoint is, and asks another instance where nobody answers.
func (e *endpoint) beat() {
	if e.over {
		return
	}
	w := e.world
	e.sequence++
	told := protocol.Endpoint{
		ID: e.id, Service: "s", Address: e.address, Zone: zoneName(e.zone), State: e.state,
		Sequence: e.sequence, Slots: 4,
	}
	to := e.target(e.tries)
	e.tries++
	ask := func(answer func(any)) { to.heartbeat(told, answer) }
	w.network.call(&e.process, &to.process, callPatience, ask, func(result any) {
		taken, _ := result.(bool)
		switch {
		case e.over:
		case taken && told.State == protocol.Draining:
			e.acknowledged()
		case taken:
			e.tries = 0
			if e.state == protocol.Draining {
				e.beat()
				return
			}
			w.After(heartbeatEvery, e.beat)
		default:
			w.After(w.between(leastRetry, mostRetry), e.beat)
		}
	})
}

// retire ends the endpoint: it drains, or says at once that it leaves, or crashes. Another one takes its place.
func (e *endpoint) retire() {
	w := e.world
	if w.quiet {
		return
	}
	e.since = w.Now()
	w.After(w.between(0, 2*time.Second), w.addEndpoint)
	switch w.random.IntN(8) {
	case 0:
		e.over = true
		w.tracef("%s crashes", e.id)
	case 1, 2:
		e.over = true
		e.leave()
	default:
		w.tracef("%s drains", e.id)
		e.state = protocol.Draining
		e.tries = 0
		e.beat()
		w.After(leaveAnyway, func() {
			if !e.over {
				e.over = true
				e.leave()
			}
		})
	}
}

// acknowledged: the endpoint serves on for a while and then says that it leaves.
func (e *endpoint) acknowledged() {
	w := e.world
	e.over = true
	w.drainAcknowledged(e)
	w.After(w.between(drainBound, drainBound+2*time.Second), e.leave)
}

// leave says that the endpoint ends, until that is acknowledged.
func (e *endpoint) leave() {
	w := e.world
	to := e.target(e.tries)
	e.tries++
	ask := func(answer func(any)) { to.left(e.id, answer) }
	w.network.call(&e.process, &to.process, callPatience, ask, func(result any) {
		taken, _ := result.(bool)
		switch {
		case taken:
			w.drainAcknowledged(e)
		case w.Now()-e.since < 2*leaveAnyway:
			w.After(w.between(leastRetry, mostRetry), e.leave)
		}
	})
}

func (w *World) drainAcknowledged(e *endpoint) {
	if _, before := w.truth.drained[e.id]; !before {
		w.tracef("%s is acknowledged as leaving", e.id)
		w.truth.drained[e.id] = w.Now()
	}
}
