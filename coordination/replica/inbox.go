package replica

import "sync"

// maxInboxBytes bounds the messages that wait for the loop; further ones are dropped, as a network drops them.
const maxInboxBytes = 64 << 20

// inboxItem is one item for the loop: a message, a call, its cancellation (a call ID alone), or a request to leave.
type inboxItem struct {
	address string
	message []byte
	callID  uint64
	command []byte // of the call; nil for a barrier
	call    *pendingCall
	leave   bool
}

// inbox passes items to the loop without ever blocking the sender.
type inbox struct {
	lock  *sync.Mutex
	items []inboxItem
	bytes int           // of the messages among the items
	ready chan struct{} // of capacity 1; has an element while there may be items
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
