package controller

// callTable numbers the endpoints' calls that wait for their answers: the registry knows a call by its ticket.
type callTable struct {
	waiting map[uint64]Caller
	newest  uint64
}

func newCallTable() callTable { return callTable{waiting: make(map[uint64]Caller)} }

// add returns the ticket of a call that begins to wait.
func (t *callTable) add(caller Caller) (ticket uint64) {
	t.newest++
	t.waiting[t.newest] = caller
	return t.newest
}

// take ends the wait of a call and returns it. A ticket that was answered before has none.
func (t *callTable) take(ticket uint64) (caller Caller, waits bool) {
	caller, waits = t.waiting[ticket]
	delete(t.waiting, ticket)
	return caller, waits
}
