package replica

import "sync"

// queueBytes bounds the messages that wait for the owner; further ones are lost, as on a network.
const queueBytes = 64 << 20

// item is one typed command to the owner: a message, a call, its withdrawal, or the wish to leave.
type item struct {
	address string
	message []byte
	token   uint64
	command []byte // nil with a waiter: a barrier
	waiter  *waiter
	leave   bool
}

// queue hands items to the owner without ever blocking the giver.
type queue struct {
	lock  *sync.Mutex
	items []item
	bytes int
	ready chan struct{}
}

func newQueue() queue {
	return queue{lock: &sync.Mutex{}, ready: make(chan struct{}, 1)}
}

func (q *queue) put(it item) {
	q.lock.Lock()
	if it.message != nil && q.bytes+len(it.message) > queueBytes {
		q.lock.Unlock()
		return
	}
	q.bytes += len(it.message)
	q.items = append(q.items, it)
	q.lock.Unlock()
	select {
	case q.ready <- struct{}{}:
	default:
	}
}

func (q *queue) take() []item {
	q.lock.Lock()
	defer q.lock.Unlock()
	items := q.items
	q.items, q.bytes = nil, 0
	return items
}
