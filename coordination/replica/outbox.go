package replica

import "time"

const (
	// maxInFlightFragments is how many fragments to one address are sent and not acknowledged at once, so that what is
	// sent after them, pings above all, waits for no more than these.
	maxInFlightFragments = 2
	// maxQueuedMessages is how many fragmented messages for one address are queued; further ones are dropped.
	maxQueuedMessages = 4
	// fragmentAckTimeout is after which time without an acknowledgement a fragmented message is dropped, like one that
	// the transport has lost; a peer that lacks its content asks for it again.
	fragmentAckTimeout = time.Second
)

// outbox sends messages, and keeps those in fragments until they are acknowledged. It is owned by the loop and has no
// effects but calls of transmit.
type outbox struct {
	queues   map[string][]*outboundMessage // by address; the first one is being sent
	transmit func(address string, frame []byte)
}

// outboundMessage is a message in fragments.
type outboundMessage struct {
	number         uint64
	fragments      [][]byte
	sent           int // how many fragments were sent
	acknowledged   int // one more than the highest index that was acknowledged
	lastProgressAt time.Duration
}

func newOutbox(transmit func(address string, frame []byte)) *outbox {
	return &outbox{queues: map[string][]*outboundMessage{}, transmit: transmit}
}

// send sends a message, given as a complete frame, or queues its fragments.
func (o *outbox) send(now time.Duration, address string, number uint64, frame []byte) {
	o.dropExpired(now)
	fragments := fragment(number, frame)
	if len(fragments) == 1 {
		o.transmit(address, fragments[0])
		return
	}
	if len(o.queues[address]) >= maxQueuedMessages {
		return
	}
	o.queues[address] = append(o.queues[address], &outboundMessage{number: number, fragments: fragments})
	o.advance(now, address)
}

// advance sends as many fragments of the first queued message as may be in flight.
func (o *outbox) advance(now time.Duration, address string) {
	queue := o.queues[address]
	if len(queue) == 0 {
		delete(o.queues, address)
		return
	}
	first := queue[0]
	if first.sent == 0 {
		first.lastProgressAt = now
	}
	for first.sent < len(first.fragments) && first.sent < first.acknowledged+maxInFlightFragments {
		o.transmit(address, first.fragments[first.sent])
		first.sent++
	}
}

// acknowledge takes in the acknowledgement of a fragment. One that is late or duplicated is ignored.
func (o *outbox) acknowledge(now time.Duration, address string, number uint64, index int) {
	queue := o.queues[address]
	if len(queue) == 0 || queue[0].number != number || index >= queue[0].sent {
		return
	}
	first := queue[0]
	first.acknowledged, first.lastProgressAt = max(first.acknowledged, index+1), now
	if first.acknowledged == len(first.fragments) {
		o.queues[address] = queue[1:]
	}
	o.advance(now, address)
}

// dropExpired drops messages whose fragments are not acknowledged in time.
func (o *outbox) dropExpired(now time.Duration) {
	for address, queue := range o.queues {
		if now-queue[0].lastProgressAt > fragmentAckTimeout {
			o.queues[address] = queue[1:]
			o.advance(now, address)
		}
	}
}
