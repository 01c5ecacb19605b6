package replica

import (
	"encoding/binary"
	"time"
)

// A message in fragments goes out piece by piece: windowPieces are on their way at once, so that what is sent after it,
// a ping above all, waits for no more than these. One of which nothing arrives for parcelPatience is given up, as one
// that the transport has lost; whoever lacks it asks again.
const (
	windowPieces   = 2
	parcelsWaiting = 4 // for one address; more are dropped
	parcelPatience = time.Second
)

// outbox holds the messages in fragments until they have arrived. It is pure but for send.
type outbox struct {
	lanes map[string][]*parcel // by address, the first one is under way
	send  func(address string, piece []byte)
}

type parcel struct {
	number  uint64
	pieces  [][]byte
	sent    int
	arrived int
	movedAt time.Duration
}

func newOutbox(send func(address string, piece []byte)) *outbox {
	return &outbox{lanes: map[string][]*parcel{}, send: send}
}

// put sends a message, or begins to.
func (o *outbox) put(now time.Duration, address string, number uint64, marked []byte) {
	o.expire(now)
	pieces := split(number, marked)
	if len(pieces) == 1 {
		o.send(address, pieces[0])
		return
	}
	if len(o.lanes[address]) >= parcelsWaiting {
		return
	}
	o.lanes[address] = append(o.lanes[address], &parcel{number: number, pieces: pieces})
	o.advance(now, address)
}

// advance sends as much of the message under way as the window allows.
func (o *outbox) advance(now time.Duration, address string) {
	lane := o.lanes[address]
	if len(lane) == 0 {
		delete(o.lanes, address)
		return
	}
	first := lane[0]
	if first.sent == 0 {
		first.movedAt = now
	}
	for first.sent < len(first.pieces) && first.sent < first.arrived+windowPieces {
		o.send(address, first.pieces[first.sent])
		first.sent++
	}
}

// arrived takes in what a receiver tells of a piece.
func (o *outbox) arrived(now time.Duration, address string, number uint64, place int) {
	lane := o.lanes[address]
	if len(lane) == 0 || lane[0].number != number || place >= lane[0].sent {
		return
	}
	first := lane[0]
	first.arrived, first.movedAt = max(first.arrived, place+1), now
	if first.arrived == len(first.pieces) {
		o.lanes[address] = lane[1:]
	}
	o.advance(now, address)
}

// expire gives up messages that do not arrive.
func (o *outbox) expire(now time.Duration) {
	for address, lane := range o.lanes {
		if now-lane[0].movedAt > parcelPatience {
			o.lanes[address] = lane[1:]
			o.advance(now, address)
		}
	}
}

// receipt tells that a piece has arrived.
func receipt(piece []byte) []byte {
	told := []byte{receiptMark}
	return append(told, piece[1:1+8+2]...)
}

func readReceipt(body []byte) (number uint64, place int, ok bool) {
	if len(body) != 1+8+2 {
		return 0, 0, false
	}
	return binary.BigEndian.Uint64(body[1:]), int(binary.BigEndian.Uint16(body[9:])), true
}
