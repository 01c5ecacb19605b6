package replica

import "time"

const (
	// maxInFlightFragments is how many fragments to one address may be unacknowledged at once. It bounds how long later
	// messages, above all pings, wait behind them on the connection.
	maxInFlightFragments = 2
	// maxQueuedMessages is how many fragmented messages for one address may be queued; further ones are dropped.
	maxQueuedMessages = 4
	// fragmentAckTimeout is the time without an acknowledgement after which a fragmented message is dropped. To the peer
	// it is a lost message: if it needs the content, it requests it again.
	fragmentAckTimeout = time.Second
)

// outbox sends messages, and queues fragmented ones until their fragments are acknowledged. It is owned by the loop, and
// its only side effect is to call transmit.
type outbox struct {
	queues   map[string][]*outboundMessage // by address; the first message of a queue is being sent
	transmit func(address string, frame []byte)
}

// outboundMessage is a fragmented message.
type outboundMessage struct {
	number         uint64
	fragments      [][]byte
	sent           int // number of fragments sent
	acknowledged   int // highest acknowledged index plus one
	lastProgressAt time.Duration
}

func newOutbox(transmit func(address string, frame []byte)) *outbox {
	return &outbox{queues: map[string][]*outboundMessage{}, transmit: transmit}
}

// send sends a message, given as a complete frame. If it must be fragmented, its fragments are queued.
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

// advance sends the next fragments of the first queued message, up to the limit of fragments in flight.
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

// acknowledge processes the acknowledgement of a fragment. Late and duplicate acknowledgements are ignored.
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

// dropExpired drops the messages being sent that had no acknowledgement within fragmentAckTimeout.
func (o *outbox) dropExpired(now time.Duration) {
	for address, queue := range o.queues {
		if now-queue[0].lastProgressAt > fragmentAckTimeout {
			o.queues[address] = queue[1:]
			o.advance(now, address)
		}
	}
}
