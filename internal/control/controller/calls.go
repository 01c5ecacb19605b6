package controller

import "raventrestle/internal/control/registry"

// pendingCalls numbers the endpoints' calls that wait for their answers: the registry knows a call by its
// request ID. A call that announces an end is accepted once the registry has accepted it and its record is committed.
type pendingCalls struct {
	calls    map[uint64]*pendingCall
	newestID uint64
}

// pendingCall is a call without an answer.
type pendingCall struct {
	caller    Caller
	recording bool            // a proposal for it has not ended
	reply     *registry.Reply // nil: the registry has not replied
}

func newPendingCalls() pendingCalls { return pendingCalls{calls: make(map[uint64]*pendingCall)} }

// add returns the request ID of a call that begins to wait.
func (p *pendingCalls) add(caller Caller) (requestID uint64) {
	p.newestID++
	p.calls[p.newestID] = &pendingCall{caller: caller}
	return p.newestID
}

// await has a call wait for its record as well.
func (p *pendingCalls) await(requestID uint64) { p.calls[requestID].recording = true }

// replied takes in the registry's reply. It reports whether the call has its answer by that.
func (p *pendingCalls) replied(reply registry.Reply) (answer Answer, answered bool) {
	call := p.calls[reply.RequestID]
	if call == nil {
		return Answer{}, false // it was answered before
	}
	if call.recording && !reply.Rejected {
		call.reply = &reply
		return Answer{}, false
	}
	delete(p.calls, reply.RequestID)
	return Answer{Caller: call.caller, Result: reply}, true
}

// recorded takes in how the proposal for a call ended. It reports whether the call has its answer by that.
func (p *pendingCalls) recorded(requestID uint64, succeeded bool) (answer Answer, answered bool) {
	call := p.calls[requestID]
	switch {
	case call == nil:
		return Answer{}, false // it was rejected before
	case !succeeded:
		delete(p.calls, requestID)
		return Answer{Caller: call.caller, Result: registry.Reply{RequestID: requestID, Rejected: true}, Unrecorded: true}, true
	case call.reply == nil:
		call.recording = false
		return Answer{}, false
	}
	delete(p.calls, requestID)
	return Answer{Caller: call.caller, Result: *call.reply}, true
}
