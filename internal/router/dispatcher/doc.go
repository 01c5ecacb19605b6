// Package dispatcher runs package dispatch: an actor, one goroutine, that owns the decider and the pool's table of idle connections.
//
// Requests' goroutines send it commands through a queue under a mutex and wait, each on a channel of its own with room for one decision,
// so that the actor never blocks. The actor takes all queued commands at once, turns them into inputs of one step of the decider and
// performs the step's outputs.
//
// Invariants: a request's goroutine receives at most one decision per attempt; every Send is followed by exactly one AttemptFinished, which
// the actor itself provides where the request's goroutine left without reading the decision; a connection belongs either to the table of idle
// connections or to one attempt.
package dispatcher
