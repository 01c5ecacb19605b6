package systemsim

import (
	"fmt"
	"time"

	"raventrestle/internal/protocol"
)

// Times of callers.
const (
	callTimeout     = time.Second
	minRetryBackoff = 50 * time.Millisecond
	maxRetryBackoff = 400 * time.Millisecond
	maxAttempts     = 10
	drainTimeout    = 6 * time.Second // of an endpoint whose draining nobody acknowledges
)

// answerCode is the status of an answer to an operator.
type answerCode int

const (
	codeAccepted    answerCode = 200
	codeInvalid     answerCode = 400
	codeMismatch    answerCode = 412
	codeUnavailable answerCode = 503
)

type changeAnswer struct {
	code       answerCode
	generation int64
}

// change is an operator's change, which may be sent more than once.
type change struct {
	name         string
	base         int64
	generation   int64
	body         []byte
	attempts     int
	acknowledged bool // an acknowledgement has left an instance, whether it came or not
}

// client is a machine beside the world's processes that calls instances.
type client struct {
	process
	preferred  *instance // asked first, if set
	isOperator bool
}

func newClient(w *World, name string, zone int) client {
	return client{process: process{world: w, address: name, zone: zone, running: true, powered: true}}
}

// target chooses an instance for a try.
func (c *client) target(try int) *instance {
	if c.preferred != nil && try == 0 {
		return c.preferred
	}
	return c.world.instances[c.world.random.IntN(len(c.world.instances))]
}

// operator changes the configuration, on top of the newest version that it knows.
type operator struct {
	client
	base    int64
	changes int
}

func (w *World) addOperator(number int) {
	o := &operator{client: newClient(w, fmt.Sprintf("operator-%d", number), number%zones)}
	o.isOperator = true
	w.clients = append(w.clients, &o.client)
	w.After(w.between(500*time.Millisecond, 1500*time.Millisecond), o.makeChange)
}

// makeChange makes a change; at times two rivals on the same version at the same moment.
func (o *operator) makeChange() {
	w := o.world
	if w.finishing {
		return
	}
	made := o.newChange()
	o.send(made, o.scheduleNext)
	if w.oneIn(5) {
		rival := o.newChange()
		if w.oneIn(2) {
			rival.generation = made.generation
			rival.encode()
		}
		o.send(rival, func(*change) {})
	}
}

func (o *operator) newChange() *change {
	o.changes++
	made := &change{
		name: fmt.Sprintf("%s-%d", o.address, o.changes), base: o.base, generation: o.base + 1 + o.world.random.Int64N(3),
	}
	made.encode()
	return made
}

func (o *change) encode() {
	o.body = fmt.Appendf(nil, `{"generation":%d,"routes":[],"services":[{"name":%q}]}`, o.generation, o.name)
}

// scheduleNext goes on once an order is decided or given up.
func (o *operator) scheduleNext(*change) {
	w := o.world
	pause := w.between(30*time.Millisecond, 400*time.Millisecond)
	if w.oneIn(6) {
		pause = w.between(time.Second, 4*time.Second)
	}
	w.After(pause, o.makeChange)
}

// send sends an order, again and again until it is decided.
func (o *operator) send(sent *change, done func(*change)) {
	w := o.world
	to := o.target(sent.attempts)
	sent.attempts++
	o.call(to, sent, func(answer changeAnswer) {
		lost := w.oneIn(8)
		switch {
		case answer.code == codeAccepted && !lost:
			o.base = max(o.base, answer.generation)
			o.resend(sent)
			done(sent)
		case answer.code == codeMismatch && !lost:
			o.base = max(o.base, answer.generation)
			done(sent)
		case sent.attempts < maxAttempts && !w.finishing:
			w.After(w.between(minRetryBackoff, maxRetryBackoff), func() { o.send(sent, done) })
		default:
			o.readNewest(func() { done(sent) })
		}
	})
}

// call sends an order to one instance. An answer of no code means that none came.
func (o *operator) call(to *instance, sent *change, done func(changeAnswer)) {
	w := o.world
	ask := func(answer func(any)) { to.applyChange(sent, answer) }
	w.network.call(&o.process, &to.process, callTimeout, ask, func(result any) {
		answer, _ := result.(changeAnswer)
		done(answer)
	})
}

// resend sends an acknowledged order once more, as after a lost answer.
func (o *operator) resend(sent *change) {
	w := o.world
	if !w.oneIn(3) {
		return
	}
	w.After(w.between(0, 3*time.Second), func() {
		o.call(o.target(1), sent, func(changeAnswer) {})
	})
}

// readNewest asks for the newest version until somebody tells it.
func (o *operator) readNewest(done func()) {
	w := o.world
	to := o.target(1)
	w.network.call(&o.process, &to.process, callTimeout, to.read, func(result any) {
		answer, _ := result.(changeAnswer)
		if answer.code != codeAccepted {
			w.After(w.between(minRetryBackoff, maxRetryBackoff), func() { o.readNewest(done) })
			return
		}
		o.base = max(o.base, answer.generation)
		done()
	})
}

// endpoint is a model server as the control plane sees it.
type endpoint struct {
	client
	id          string
	sequence    uint64
	state       protocol.EndpointState
	ended       bool
	attempts    int
	endingSince time.Duration // it says that it ends
}

func (w *World) addEndpoint() {
	number := len(w.endpoints)
	e := &endpoint{
		client: newClient(w, fmt.Sprintf("10.%d.2.%d:8080", number%zones, number), number%zones),
		id:     fmt.Sprintf("e%d", number),
	}
	w.endpoints = append(w.endpoints, e)
	w.clients = append(w.clients, &e.client)
	w.After(w.between(0, heartbeatInterval), e.sendHeartbeat)
	w.After(w.between(4*time.Second, 25*time.Second), e.end)
}

// sendHeartbeat says how the endpoint is, and asks another instance where nobody answers.
func (e *endpoint) sendHeartbeat() {
	if e.ended {
		return
	}
	w := e.world
	e.sequence++
	told := protocol.Endpoint{
		ID: e.id, Service: "s", Address: e.address, Zone: zoneName(e.zone), State: e.state,
		Sequence: e.sequence, Slots: 4,
	}
	to := e.target(e.attempts)
	e.attempts++
	ask := func(answer func(any)) { to.heartbeat(told, answer) }
	w.network.call(&e.process, &to.process, callTimeout, ask, func(result any) {
		taken, _ := result.(bool)
		switch {
		case e.ended:
		case taken && told.State == protocol.Draining:
			e.acknowledged()
		case taken:
			e.attempts = 0
			if e.state == protocol.Draining {
				e.sendHeartbeat()
				return
			}
			w.After(heartbeatInterval, e.sendHeartbeat)
		default:
			w.After(w.between(minRetryBackoff, maxRetryBackoff), e.sendHeartbeat)
		}
	})
}

// end ends the endpoint: it drains, or says at once that it leaves, or crashes. Another one takes its place.
func (e *endpoint) end() {
	w := e.world
	if w.finishing {
		return
	}
	e.endingSince = w.Now()
	w.After(w.between(0, 2*time.Second), w.addEndpoint)
	switch w.random.IntN(8) {
	case 0:
		e.ended = true
		w.tracef("%s crashes", e.id)
	case 1, 2:
		e.ended = true
		e.deregister()
	default:
		w.tracef("%s drains", e.id)
		e.state = protocol.Draining
		e.attempts = 0
		e.sendHeartbeat()
		w.After(drainTimeout, func() {
			if !e.ended {
				e.ended = true
				e.deregister()
			}
		})
	}
}

// acknowledged: the endpoint serves on for a while and then says that it leaves.
func (e *endpoint) acknowledged() {
	w := e.world
	e.ended = true
	w.recordDrain(e)
	w.After(w.between(drainBound, drainBound+2*time.Second), e.deregister)
}

// deregister says that the endpoint ends, until that is acknowledged.
func (e *endpoint) deregister() {
	w := e.world
	to := e.target(e.attempts)
	e.attempts++
	ask := func(answer func(any)) { to.deregister(e.id, answer) }
	w.network.call(&e.process, &to.process, callTimeout, ask, func(result any) {
		taken, _ := result.(bool)
		switch {
		case taken:
			w.recordDrain(e)
		case w.Now()-e.endingSince < 2*drainTimeout:
			w.After(w.between(minRetryBackoff, maxRetryBackoff), e.deregister)
		}
	})
}

func (w *World) recordDrain(e *endpoint) {
	if _, before := w.model.drained[e.id]; !before {
		w.tracef("%s is acknowledged as leaving", e.id)
		w.model.drained[e.id] = w.Now()
	}
}
