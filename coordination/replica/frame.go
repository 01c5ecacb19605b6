package replica

import (
	"encoding/binary"
	"errors"
)

// The types of frames, which are the first byte of what the transport carries. A message travels in one frame after
// frameComplete, or in fragments: frameFragment, the message's number (8 bytes), the fragment's index and the count of
// fragments (2 bytes each), and the bytes. Each fragment is acknowledged by frameAck, number and index. Integers are
// big-endian. Processes of neighbouring releases exchange these frames, so they must not change.
const (
	frameComplete = 0
	frameFragment = 1
	frameAck      = 2
)

const (
	maxFragmentBytes     = 64 << 10 // of the message in one fragment; a message up to that size is sent complete
	fragmentHeaderLength = 1 + 8 + 2 + 2
	ackLength            = 1 + 8 + 2
)

var errMalformedFrame = errors.New("malformed frame")

// fragment divides a message, given as a complete frame, into the frames that the transport carries. One that is small
// enough stays complete.
func fragment(number uint64, frame []byte) [][]byte {
	message := frame[1:]
	if len(message) <= maxFragmentBytes {
		return [][]byte{frame}
	}
	count := (len(message) + maxFragmentBytes - 1) / maxFragmentBytes
	fragments := make([][]byte, 0, count)
	for index := range count {
		body := message[index*maxFragmentBytes : min((index+1)*maxFragmentBytes, len(message))]
		encoded := make([]byte, 0, fragmentHeaderLength+len(body))
		encoded = append(encoded, frameFragment)
		encoded = binary.BigEndian.AppendUint64(encoded, number)
		encoded = binary.BigEndian.AppendUint16(encoded, uint16(index))
		encoded = binary.BigEndian.AppendUint16(encoded, uint16(count))
		fragments = append(fragments, append(encoded, body...))
	}
	return fragments
}

// encodeAck returns the acknowledgement of a fragment.
func encodeAck(fragment []byte) []byte {
	return append([]byte{frameAck}, fragment[1:ackLength]...)
}

// decodeAck returns the number of the message and the index of the fragment that an acknowledgement names.
func decodeAck(frame []byte) (number uint64, index int, ok bool) {
	if len(frame) != ackLength {
		return 0, 0, false
	}
	return binary.BigEndian.Uint64(frame[1:]), int(binary.BigEndian.Uint16(frame[9:])), true
}
