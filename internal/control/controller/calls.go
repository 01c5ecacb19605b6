package controller

// pendingCalls numbers the endpoints' calls that wait for their answers: the registry knows a call by its
// request ID.
type pendingCalls struct {
	callers  map[uint64]Caller
	newestID uint64
}

func newPendingCalls() pendingCalls { return pendingCalls{callers: make(map[uint64]Caller)} }

// add returns the request ID of a call that begins to wait.
func (p *pendingCalls) add(caller Caller) (requestID uint64) {
	p.newestID++
	p.callers[p.newestID] = caller
	return p.newestID
}

// remove ends the wait of a call and returns its caller, unless it was answered before.
func (p *pendingCalls) remove(requestID uint64) (caller Caller, waits bool) {
	caller, waits = p.callers[requestID]
	delete(p.callers, requestID)
	return caller, waits
}
