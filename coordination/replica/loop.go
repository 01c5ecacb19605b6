package replica

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"raventrestle/coordination/chain"
	"raventrestle/coordination/engine"
)

// run is the loop: the goroutine that owns the engine.
func (r *Replica) run() {
	defer close(r.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		r.step(r.inbox.takeAll())
		timer.Reset(max(0, r.engine.NextStep()-r.now()))
		select {
		case <-r.quit:
			r.shutDown()
			return
		case <-r.inbox.ready:
		case <-timer.C:
		}
	}
}

// step passes the items to the engine, then sends the messages and completes the calls of its output.
func (r *Replica) step(items []inboxItem) {
	inputs := make([]engine.Input, 0, len(items))
	for _, item := range items {
		if input, ok := r.convertItem(item); ok {
			inputs = append(inputs, input)
		}
	}
	now := r.now()
	r.outbox.dropExpired(now)
	output := r.engine.Step(now, inputs)
	r.recordDiskError(output.DiskError)
	for _, envelope := range output.Messages {
		r.send(envelope)
	}
	r.publish(now)
	r.completeCalls(output)
	if r.leaving {
		r.checkLeave()
	}
	r.recordDiskError(r.engine.Maintain(now))
}

// checkLeave unblocks Stop if the member may leave, and otherwise stores the reason why it may not.
func (r *Replica) checkLeave() {
	blocker := r.engine.LeaveBlocker()
	r.leaveBlocker.Store(blocker)
	if blocker == "" {
		r.leaving = false
		close(r.leaveAllowed)
	}
}

func (r *Replica) recordDiskError(err error) {
	if err != nil {
		r.config.RecordEvent("disk_write_failed", "error", err.Error())
	}
}

// convertItem converts an item to an input of the engine. It reports false when the item results in no input: a frame that
// completes no message, or a call that was cancelled before it was started.
func (r *Replica) convertItem(item inboxItem) (engine.Input, bool) {
	switch {
	case item.message != nil:
		return r.receive(item.address, item.message)
	case item.call != nil:
		if !item.call.setStarted() {
			return engine.Input{}, false
		}
		r.pendingCalls[item.callID] = item.call
		return engine.Input{CallID: item.callID, Command: item.command, Barrier: item.command == nil}, true
	case item.leave:
		r.leaving = true
		return engine.Input{Leave: true}, true
	}
	return engine.Input{CallID: item.callID, Cancel: true}, true
}

// receive processes a frame from a peer. It returns true and an input with the message if the frame completes one.
func (r *Replica) receive(address string, frame []byte) (engine.Input, bool) {
	if len(frame) > 0 && frame[0] == frameAck {
		if number, index, ok := decodeAck(frame); ok {
			r.outbox.acknowledge(r.now(), address, number, index)
		}
		return engine.Input{}, false
	}
	body, err := r.reassembler.add(address, frame)
	if len(frame) > fragmentHeaderLength && frame[0] == frameFragment {
		r.config.Transport.Send(address, encodeAck(frame))
	}
	if err == nil && body == nil {
		return engine.Input{}, false // fragments are still missing, or the frame is a duplicate
	}
	var message chain.Message
	if err == nil {
		err = cbor.Unmarshal(body, &message)
	}
	if err != nil {
		r.config.RecordEvent("message_undecodable", "peer", address, "error", err.Error())
		return engine.Input{}, false
	}
	return engine.Input{Message: &message, Address: address}, true
}

// send encodes the message and sends it through the outbox.
func (r *Replica) send(envelope chain.Envelope) {
	var frame bytes.Buffer
	frame.WriteByte(frameComplete)
	if err := cbor.NewEncoder(&frame).Encode(envelope.Message); err != nil {
		r.config.RecordEvent("message_not_encodable", "peer", envelope.Address, "error", err.Error())
		return
	}
	r.lastMessageNumber++
	r.outbox.send(r.now(), envelope.Address, r.lastMessageNumber, frame.Bytes())
}

// completeCalls completes the calls that have a result or were cancelled.
func (r *Replica) completeCalls(output engine.Output) {
	for _, result := range output.Results {
		r.completeCall(result.CallID, outcome{value: result.Value, index: result.Index, err: result.Err})
	}
	for _, cancellation := range output.Cancellations {
		err := ErrUnavailable
		if cancellation.MaybeSent {
			err = ErrOutcomeUnknown
		}
		r.completeCall(cancellation.CallID, outcome{err: err})
	}
}

func (r *Replica) completeCall(id uint64, o outcome) {
	if call := r.pendingCalls[id]; call != nil {
		delete(r.pendingCalls, id)
		call.complete(o)
	}
}

// shutDown completes the pending calls with ErrOutcomeUnknown and closes the log.
func (r *Replica) shutDown() {
	for _, id := range slices.Sorted(maps.Keys(r.pendingCalls)) {
		r.pendingCalls[id].complete(outcome{err: fmt.Errorf("%w: %w", ErrOutcomeUnknown, ErrStopped)})
	}
	if err := r.engine.Close(); err != nil {
		r.config.RecordEvent("log_close_failed", "error", err.Error())
	}
}
