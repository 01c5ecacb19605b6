package replica

import "encoding/binary"

// maxReassembliesPerSender is how many incomplete messages of one sender are kept. When there are more, the oldest is
// dropped, because a sender that was restarted never completes it.
const maxReassembliesPerSender = 4

// reassembler reassembles messages from their fragments. If one fragment is lost, the message is lost.
type reassembler struct {
	bySender map[string][]*reassembly // oldest first
}

// reassembly is a partially received message.
type reassembly struct {
	number    uint64
	fragments [][]byte // by index; nil where one is missing
	missing   int
}

// add processes a complete frame or a fragment. It returns the message if the frame completes one, else nil.
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
	partial := r.findOrCreate(address, number, count)
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

// join returns the complete message, which is never nil, even if it is empty.
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

// findOrCreate returns the reassembly of the message with this number, and creates it if there is none.
func (r *reassembler) findOrCreate(address string, number uint64, count int) *reassembly {
	for _, partial := range r.bySender[address] {
		if partial.number == number {
			return partial
		}
	}
	partial := &reassembly{number: number, fragments: make([][]byte, count), missing: count}
	partials := append(r.bySender[address], partial)
	if len(partials) > maxReassembliesPerSender {
		partials = partials[1:]
	}
	if r.bySender == nil {
		r.bySender = map[string][]*reassembly{}
	}
	r.bySender[address] = partials
	return partial
}

// remove deletes the reassembly of a complete message.
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
