package replica

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"raventrestle/coordination/chain"
	"raventrestle/coordination/engine"
)

// Replica is a running member. One goroutine owns the engine and works through the queue.
type Replica struct {
	options Config
	base    time.Time // of the clock that the engine sees
	queue   queue
	published
	engine *engine.Engine

	waiters   map[uint64]*waiter // by token, owned by the loop
	nextToken atomic.Uint64
	fragments fragments // owned by the loop, as all that follows
	outbox    *outbox
	sent      uint64 // messages
	leaving   bool
	left      chan struct{} // closed when the member may go after Leave
	staying   atomic.Value  // string: why it may not go yet
	quit      chan struct{}
	done      chan struct{} // closed when the loop has ended
	stopping  atomic.Bool
}

var _ Interface = (*Replica)(nil)

// clockStart keeps the engine's times above zero, which it takes for never.
const clockStart = time.Second

// Open recovers or begins the member on its disk and starts it.
func Open(options Config) (*Replica, error) {
	if err := options.complete(); err != nil {
		return nil, err
	}
	r := &Replica{
		options: options,
		base:    options.Clock(),
		queue:   newQueue(),
		waiters: map[uint64]*waiter{},
		left:    make(chan struct{}),
		quit:    make(chan struct{}),
		done:    make(chan struct{}),
		sent:    options.RandomSeed, // numbers must differ from those of the life before
	}
	opened, err := engine.Open(r.now(), engine.Config{
		Self: options.Self, Seeds: options.Seeds, Bootstrap: options.Bootstrap, FaultTolerance: options.FaultTolerance,
		FS: options.FS, StateMachine: options.StateMachine, RandomSeed: options.RandomSeed, Timing: options.Timing,
		CompactBytes: options.CompactBytes,
	})
	if err != nil {
		return nil, fmt.Errorf("replica: %w", err)
	}
	r.engine = opened
	r.outbox = newOutbox(options.Transport.Send)
	r.changed.Store(newSignal())
	r.publish(r.now())
	go r.run()
	return r, nil
}

// now is the time on the engine's clock.
func (r *Replica) now() time.Duration { return r.options.Clock().Sub(r.base) + clockStart }

// instant turns a time of the engine's clock into one of the steady clock.
func (r *Replica) instant(at time.Duration) time.Time {
	if at == 0 {
		return time.Time{}
	}
	return r.base.Add(at - clockStart)
}

// run is the loop of the owner.
func (r *Replica) run() {
	defer close(r.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		r.step(r.queue.take())
		timer.Reset(max(0, r.engine.NextStep()-r.now()))
		select {
		case <-r.quit:
			r.end()
			return
		case <-r.queue.ready:
		case <-timer.C:
		}
	}
}

// step has the engine take all that is queued and carries out what follows.
func (r *Replica) step(items []item) {
	inputs := make([]engine.Input, 0, len(items))
	for _, it := range items {
		if input, ok := r.input(it); ok {
			inputs = append(inputs, input)
		}
	}
	now := r.now()
	r.outbox.expire(now)
	effects := r.engine.Step(now, inputs)
	r.logRefusal(effects.DiskError)
	for _, envelope := range effects.Messages {
		r.send(envelope)
	}
	r.publish(now)
	r.answer(effects)
	if r.leaving {
		r.leave()
	}
	r.logRefusal(r.engine.Maintain(now))
}

// leave tells that the member may go, or keeps why it may not.
func (r *Replica) leave() {
	why := r.engine.LeaveBlocker()
	r.staying.Store(why)
	if why == "" {
		r.leaving = false
		close(r.left)
	}
}

func (r *Replica) logRefusal(err error) {
	if err != nil {
		r.options.RecordEvent("disk_refused", "error", err.Error())
	}
}

// input turns a queued item into the engine's. A call that was given up before this moment was never begun.
func (r *Replica) input(it item) (engine.Input, bool) {
	switch {
	case it.message != nil:
		return r.message(it)
	case it.waiter != nil:
		if !it.waiter.begin() {
			return engine.Input{}, false
		}
		r.waiters[it.token] = it.waiter
		return engine.Input{CallID: it.token, Command: it.command, Barrier: it.command == nil}, true
	case it.leave:
		r.leaving = true
		return engine.Input{Leave: true}, true
	}
	return engine.Input{CallID: it.token, Cancel: true}, true
}

// message puts a message together and reads it.
func (r *Replica) message(it item) (engine.Input, bool) {
	if len(it.message) > 0 && it.message[0] == receiptMark {
		if number, place, ok := readReceipt(it.message); ok {
			r.outbox.arrived(r.now(), it.address, number, place)
		}
		return engine.Input{}, false
	}
	body, err := r.fragments.join(it.address, it.message)
	if len(it.message) > fragmentHeader && it.message[0] == fragmentMark {
		r.options.Transport.Send(it.address, receipt(it.message))
	}
	if err == nil && body == nil {
		return engine.Input{}, false // more of it is to come
	}
	var message chain.Message
	if err == nil {
		err = cbor.Unmarshal(body, &message)
	}
	if err != nil {
		r.options.RecordEvent("bad_message", "peer", it.address, "error", err.Error())
		return engine.Input{}, false
	}
	return engine.Input{Message: &message, Address: it.address}, true
}

func (r *Replica) send(envelope chain.Envelope) {
	var body bytes.Buffer
	body.WriteByte(wholeMark)
	if err := cbor.NewEncoder(&body).Encode(envelope.Message); err != nil {
		r.options.RecordEvent("message_lost", "peer", envelope.Address, "error", err.Error())
		return
	}
	r.sent++
	r.outbox.put(r.now(), envelope.Address, r.sent, body.Bytes())
}

// answer ends the calls that are decided.
func (r *Replica) answer(effects engine.Output) {
	for _, result := range effects.Results {
		if w := r.waiters[result.CallID]; w != nil {
			delete(r.waiters, result.CallID)
			w.end(outcome{value: result.Value, index: result.Index, err: result.Err})
		}
	}
	for _, withdrawn := range effects.Cancellations {
		if w := r.waiters[withdrawn.CallID]; w != nil {
			delete(r.waiters, withdrawn.CallID)
			w.end(outcome{err: fateOf(withdrawn.MaybeSent)})
		}
	}
}

func fateOf(sent bool) error {
	if sent {
		return ErrOutcomeUnknown
	}
	return ErrUnavailable
}

// end closes what is open when the loop ends.
func (r *Replica) end() {
	tokens := make([]uint64, 0, len(r.waiters))
	for token := range r.waiters {
		tokens = append(tokens, token)
	}
	slices.Sort(tokens)
	for _, token := range tokens {
		r.waiters[token].end(outcome{err: fmt.Errorf("%w: %w", ErrOutcomeUnknown, ErrStopped)})
	}
	r.engine.Close()
}

// Deliver implements Interface.
func (r *Replica) Deliver(fromAddress string, message []byte) {
	r.queue.put(item{address: fromAddress, message: message})
}

// Stop implements Interface.
func (r *Replica) Stop(ctx context.Context) error {
	if !r.stopping.CompareAndSwap(false, true) {
		<-r.done
		return nil
	}
	r.queue.put(item{leave: true})
	var err error
	select {
	case <-r.left:
	case <-ctx.Done():
		why, _ := r.staying.Load().(string)
		err = &OperationError{Step: "leave", Peer: r.headAddress(), Err: fmt.Errorf("%w: %s: %w", ErrStillNeeded, why, ctx.Err())}
	}
	close(r.quit)
	<-r.done
	return err
}

// Kill ends the replica at once, as the end of its process would.
func (r *Replica) Kill() {
	if r.stopping.CompareAndSwap(false, true) {
		close(r.quit)
	}
	<-r.done
}
