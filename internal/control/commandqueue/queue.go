// Package commandqueue passes commands from many goroutines to the one that owns a host's state.
package commandqueue

import "context"

// Queue is a bounded queue with one reader. Post is safe for concurrent use; the other methods are the reader's.
type Queue struct {
	commands chan any
	ended    chan struct{}
}

// New returns a queue in which capacity commands can wait.
func New(capacity int) *Queue {
	return &Queue{commands: make(chan any, capacity), ended: make(chan struct{})}
}

// Post queues a command. It waits while the queue is full, and says whether the command was queued.
func (q *Queue) Post(ctx context.Context, command any) bool {
	select {
	case q.commands <- command:
		return true
	case <-q.ended:
		return false
	case <-ctx.Done():
		return false
	}
}

// Commands returns what the reader receives from.
func (q *Queue) Commands() <-chan any { return q.commands }

// Drain handles the commands that wait, but no more than limit, and does not wait for others.
func (q *Queue) Drain(limit int, handle func(command any)) {
	for range limit {
		select {
		case command := <-q.commands:
			handle(command)
		default:
			return
		}
	}
}

// End says that the reader has ended: Post queues nothing from now on.
func (q *Queue) End() { close(q.ended) }

// Ended is closed once the reader has ended.
func (q *Queue) Ended() <-chan struct{} { return q.ended }
