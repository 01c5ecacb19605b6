package replica

import "sync"

// maxInboxBytes bounds the total size of the queued messages. Further messages are dropped, which the protocol treats like
// a loss in the network.
const maxInboxBytes = 64 << 20

// inboxItem is one item for the loop: a frame from a peer (address and message), a call (callID, command and call), the
// cancellation of a call (callID alone), or a request to leave the group.
type inboxItem struct {
	address string
	message []byte
	callID  uint64
	command []byte // nil for a barrier
	call    *pendingCall
	leave   bool
}

// inbox is the loop's queue. Adding an item never waits for the loop.
type inbox struct {
	lock  *sync.Mutex
	items []inboxItem
	bytes int           // total size of the queued messages
	ready chan struct{} // has capacity 1; signals that items may be queued
}

func newInbox() inbox {
	return inbox{lock: &sync.Mutex{}, ready: make(chan struct{}, 1)}
}

func (i *inbox) put(item inboxItem) {
	i.lock.Lock()
	if item.message != nil && i.bytes+len(item.message) > maxInboxBytes {
		i.lock.Unlock()
		return
	}
	i.bytes += len(item.message)
	i.items = append(i.items, item)
	i.lock.Unlock()
	select {
	case i.ready <- struct{}{}:
	default:
	}
}

// takeAll removes and returns all items, in the order in which they were put.
func (i *inbox) takeAll() []inboxItem {
	i.lock.Lock()
	defer i.lock.Unlock()
	items := i.items
	i.items, i.bytes = nil, 0
	return items
}
