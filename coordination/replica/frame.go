package replica

import (
	"encoding/binary"
	"errors"
)

// The frame types. The transport carries frames, and the first byte of a frame is its type:
//
//   - frameComplete is followed by one complete message.
//   - frameFragment is followed by the message's number (8 bytes), the index of the fragment and the count of fragments
//     (2 bytes each), and the fragment's part of the message.
//   - frameAck acknowledges one fragment and is followed by the message's number and the fragment's index.
//
// Integers are big-endian. Processes of adjacent releases exchange these frames, so the format must not change.
const (
	frameComplete = 0
	frameFragment = 1
	frameAck      = 2
)

const (
	maxFragmentBytes     = 64 << 10 // of the message per fragment; a message up to this size is sent in one complete frame
	fragmentHeaderLength = 1 + 8 + 2 + 2
	ackLength            = 1 + 8 + 2
)

var errMalformedFrame = errors.New("malformed frame")

// fragment splits a message, given as a complete frame, into fragments. A message of at most maxFragmentBytes is returned
// unchanged as a single complete frame.
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

// encodeAck returns the frame that acknowledges a fragment.
func encodeAck(fragment []byte) []byte {
	return append([]byte{frameAck}, fragment[1:ackLength]...)
}

// decodeAck returns the message number and the fragment index from an acknowledgement.
func decodeAck(frame []byte) (number uint64, index int, ok bool) {
	if len(frame) != ackLength {
		return 0, 0, false
	}
	return binary.BigEndian.Uint64(frame[1:]), int(binary.BigEndian.Uint16(frame[9:])), true
}
