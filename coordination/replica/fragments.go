package replica

import (
	"encoding/binary"
	"errors"
)

// A message travels whole behind the byte wholeMark, or in fragments: fragmentMark, the message's number, the
// fragment's place and how many there are. Each fragment is answered by receiptMark, number and place.
const (
	wholeMark      = 0
	fragmentMark   = 1
	receiptMark    = 2
	fragmentBytes  = 64 << 10
	fragmentHeader = 1 + 8 + 2 + 2
	fragmentsOpen  = 4 // messages of one sender that are put together at once
)

var errFragment = errors.New("a fragment makes no sense")

// split cuts a message, which stands behind its wholeMark, into what the transport carries. Small ones stay whole.
func split(number uint64, marked []byte) [][]byte {
	message := marked[1:]
	if len(message) <= fragmentBytes {
		return [][]byte{marked}
	}
	count := (len(message) + fragmentBytes - 1) / fragmentBytes
	pieces := make([][]byte, 0, count)
	for place := range count {
		body := message[place*fragmentBytes : min((place+1)*fragmentBytes, len(message))]
		piece := make([]byte, 0, fragmentHeader+len(body))
		piece = append(piece, fragmentMark)
		piece = binary.BigEndian.AppendUint64(piece, number)
		piece = binary.BigEndian.AppendUint16(piece, uint16(place))
		piece = binary.BigEndian.AppendUint16(piece, uint16(count))
		pieces = append(pieces, append(piece, body...))
	}
	return pieces
}

// fragments puts messages together again. When one of its pieces is lost, so is the message.
type fragments struct {
	open map[string][]*partial // by sender, oldest first
}

type partial struct {
	number  uint64
	pieces  [][]byte
	missing int
}

// join takes a piece in. It returns the message once it is whole, else nil.
func (f *fragments) join(address string, piece []byte) ([]byte, error) {
	if len(piece) == 0 {
		return nil, errFragment
	}
	if piece[0] == wholeMark {
		return piece[1:], nil
	}
	if piece[0] != fragmentMark || len(piece) < fragmentHeader {
		return nil, errFragment
	}
	number := binary.BigEndian.Uint64(piece[1:])
	place, count := int(binary.BigEndian.Uint16(piece[9:])), int(binary.BigEndian.Uint16(piece[11:]))
	if place >= count {
		return nil, errFragment
	}
	p := f.partial(address, number, count)
	if len(p.pieces) != count || p.pieces[place] != nil {
		return nil, nil
	}
	p.pieces[place] = piece[fragmentHeader:]
	if p.missing--; p.missing > 0 {
		return nil, nil
	}
	f.close(address, number)
	return concat(p.pieces), nil
}

func concat(pieces [][]byte) []byte {
	length := 0
	for _, piece := range pieces {
		length += len(piece)
	}
	whole := make([]byte, 0, length)
	for _, piece := range pieces {
		whole = append(whole, piece...)
	}
	return whole
}

// partial returns the message of that number, and gives up the oldest when there are too many.
func (f *fragments) partial(address string, number uint64, count int) *partial {
	for _, p := range f.open[address] {
		if p.number == number {
			return p
		}
	}
	p := &partial{number: number, pieces: make([][]byte, count), missing: count}
	list := append(f.open[address], p)
	if len(list) > fragmentsOpen {
		list = list[1:]
	}
	if f.open == nil {
		f.open = map[string][]*partial{}
	}
	f.open[address] = list
	return p
}

func (f *fragments) close(address string, number uint64) {
	var rest []*partial
	for _, p := range f.open[address] {
		if p.number != number {
			rest = append(rest, p)
		}
	}
	if len(rest) == 0 {
		delete(f.open, address)
		return
	}
	f.open[address] = rest
}
