package replica

import "encoding/binary"

// maxReassemblies is how many messages of one sender are put together at once. When there are more, the oldest is
// dropped: a sender that was restarted never completes it.
const maxReassemblies = 4

// reassembler puts fragmented messages together. A message of which a fragment is lost is lost.
type reassembler struct {
	bySender map[string][]*reassembly // oldest first
}

// reassembly is a message of which fragments are missing.
type reassembly struct {
	number    uint64
	fragments [][]byte // by index; nil where one is missing
	missing   int
}

// add takes in a complete frame or a fragment. It returns the message that the frame completes, else nil.
func (r *reassembler) add(address string, frame []byte) ([]byte, error) {
	if len(frame) == 0 {
		return nil, errMalformedFrame
	}
	if frame[0] == frameComplete {
		return frame[1:], nil
	}
	if frame[0] != frameFragment || len(frame) < fragmentHeaderLength {
		return nil, errMalformedFrame
	}
	number := binary.BigEndian.Uint64(frame[1:])
	index, count := int(binary.BigEndian.Uint16(frame[9:])), int(binary.BigEndian.Uint16(frame[11:]))
	if index >= count {
		return nil, errMalformedFrame
	}
	partial := r.reassembly(address, number, count)
	if len(partial.fragments) != count || partial.fragments[index] != nil {
		return nil, nil
	}
	partial.fragments[index] = frame[fragmentHeaderLength:]
	if partial.missing--; partial.missing > 0 {
		return nil, nil
	}
	r.remove(address, number)
	return partial.join(), nil
}

// join returns the complete message; it is not nil, even if it is empty.
func (p *reassembly) join() []byte {
	length := 0
	for _, fragment := range p.fragments {
		length += len(fragment)
	}
	message := make([]byte, 0, length)
	for _, fragment := range p.fragments {
		message = append(message, fragment...)
	}
	return message
}

// reassembly returns the one of that number, or begins it.
func (r *reassembler) reassembly(address string, number uint64, count int) *reassembly {
	for _, partial := range r.bySender[address] {
		if partial.number == number {
			return partial
		}
	}
	partial := &reassembly{number: number, fragments: make([][]byte, count), missing: count}
	partials := append(r.bySender[address], partial)
	if len(partials) > maxReassemblies {
		partials = partials[1:]
	}
	if r.bySender == nil {
		r.bySender = map[string][]*reassembly{}
	}
	r.bySender[address] = partials
	return partial
}

// remove forgets a message that is complete.
func (r *reassembler) remove(address string, number uint64) {
	var others []*reassembly
	for _, partial := range r.bySender[address] {
		if partial.number != number {
			others = append(others, partial)
		}
	}
	if len(others) == 0 {
		delete(r.bySender, address)
		return
	}
	r.bySender[address] = others
}
