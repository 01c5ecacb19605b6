package systemsim

import (
	"fmt"
	"time"
)

// answerCode is the HTTP status of an answer to an operator; 0: no answer came.
type answerCode int

const (
	codeAccepted    answerCode = 200
	codeInvalid     answerCode = 400
	codeMismatch    answerCode = 412
	codeUnavailable answerCode = 503
)

// changeAnswer is the answer to a change or to a read.
type changeAnswer struct {
	code       answerCode
	generation int64 // accepted, or the newest
}

// change is an operator's change of the configuration, which may be sent more than once.
type change struct {
	name         string
	base         int64 // version that it replaces
	generation   int64
	body         []byte
	attempts     int
	acknowledged bool // an acknowledgement has left an instance, whether it arrived or not
}

func (c *change) encode() {
	c.body = fmt.Appendf(nil, `{"generation":%d,"routes":[],"services":[{"name":%q}]}`, c.generation, c.name)
}

// operator replaces the newest version of the configuration that it knows, again and again.
type operator struct {
	client
	base    int64 // newest version that it knows
	changes int   // made so far
}

func (w *World) addOperator(number int) {
	o := &operator{client: newClient(w, fmt.Sprintf("operator-%d", number), number%zones)}
	o.isOperator = true
	w.clients = append(w.clients, &o.client)
	w.After(w.between(500*time.Millisecond, 1500*time.Millisecond), o.makeChange)
}

// makeChange makes a change; at times a second one on the same version at the same moment.
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

// scheduleNext plans the next change once one is decided or given up.
func (o *operator) scheduleNext(*change) {
	w := o.world
	wait := w.between(30*time.Millisecond, 400*time.Millisecond)
	if w.oneIn(6) {
		wait = w.between(time.Second, 4*time.Second)
	}
	w.After(wait, o.makeChange)
}

// send sends a change, with attempts until it is decided. One answer in eight is lost.
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

// call sends a change to one instance.
func (o *operator) call(to *instance, sent *change, done func(changeAnswer)) {
	w := o.world
	ask := func(answer func(any)) { to.applyChange(sent, answer) }
	w.network.call(&o.process, &to.process, callTimeout, ask, func(result any) {
		answer, _ := result.(changeAnswer)
		done(answer)
	})
}

// resend sends an acknowledged change once more at times, as after a lost answer.
func (o *operator) resend(sent *change) {
	w := o.world
	if !w.oneIn(3) {
		return
	}
	w.After(w.between(0, 3*time.Second), func() {
		o.call(o.target(1), sent, func(changeAnswer) {})
	})
}

// readNewest reads the newest version, with attempts until an instance answers.
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
