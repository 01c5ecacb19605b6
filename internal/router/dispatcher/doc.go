// Package dispatcher runs package dispatch in an actor, which is one goroutine that owns the decider and the pool's
// table of idle connections.
//
// The goroutines of the requests send commands to the actor through a queue that is protected by a mutex. Each waits
// on a channel of its own, which has a buffer for one decision, so that the actor never blocks. The actor takes all
// queued commands at once, converts them into the inputs of one step of the decider, and performs the outputs of the
// step.
//
// Invariants:
//   - A request's goroutine receives at most one decision per attempt.
//   - Every Send is followed by exactly one AttemptFinished. The actor itself generates it if the request's
//     goroutine stopped waiting without reading the decision.
//   - A connection belongs either to the table of idle connections or to one attempt.
package dispatcher
