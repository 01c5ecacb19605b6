package replica

import (
	"bytes"
	"testing"
	"time"
)

// transmitted collects the frames that an outbox transmits.
type transmitted struct{ frames [][]byte }

func (s *transmitted) transmit(_ string, frame []byte) { s.frames = append(s.frames, frame) }

// deliver delivers the frames in order and acknowledges each fragment to the outbox. It returns the reassembled messages
// and the maximum number of frames in flight.
func (s *transmitted) deliver(t *testing.T, o *outbox, now time.Duration) (messages [][]byte, maxInFlight int) {
	t.Helper()
	var r reassembler
	for len(s.frames) > 0 {
		maxInFlight = max(maxInFlight, len(s.frames))
		frame := s.frames[0]
		s.frames = s.frames[1:]
		message, err := r.add("peer", frame)
		if err != nil {
			t.Fatalf("add: %v, want nil", err)
		}
		if message != nil {
			messages = append(messages, message)
		}
		if frame[0] != frameFragment {
			continue
		}
		number, index, ok := decodeAck(encodeAck(frame))
		if !ok {
			t.Fatalf("decode the acknowledgement of %x: got false, want true", frame[:fragmentHeaderLength])
		}
		o.acknowledge(now, "peer", number, index)
		o.acknowledge(now, "peer", number, index) // acknowledgements may be duplicated
	}
	return messages, maxInFlight
}

// completeFrame returns a complete frame with a message of this many bytes.
func completeFrame(size int, fill byte) []byte {
	return append([]byte{frameComplete}, bytes.Repeat([]byte{fill}, size)...)
}

func TestSmallMessagesOvertakeFragmentedOnes(t *testing.T) {
	sent := &transmitted{}
	o := newOutbox(sent.transmit)
	o.send(0, "peer", 1, completeFrame(20*maxFragmentBytes, 'a'))
	o.send(0, "peer", 2, completeFrame(3*maxFragmentBytes, 'b'))
	o.send(0, "peer", 3, completeFrame(10, 'c'))
	if got, want := len(sent.frames), maxInFlightFragments+1; got != want {
		t.Errorf("%d frames are in flight, want %d", got, want)
	}
	messages, maxInFlight := sent.deliver(t, o, 0)
	if len(messages) != 3 || messages[0][0] != 'c' || messages[1][0] != 'a' || messages[2][0] != 'b' {
		t.Errorf("got %d messages, beginning with %q, want 3, beginning with c, a, b", len(messages), firstBytes(messages))
	}
	if want := maxInFlightFragments + 1; maxInFlight > want {
		t.Errorf("%d frames were in flight, want at most %d", maxInFlight, want)
	}
	if len(o.queues) != 0 {
		t.Errorf("%d queues are left, want 0", len(o.queues))
	}
}

func TestUnacknowledgedMessageIsDroppedAndTheNextOneSent(t *testing.T) {
	sent := &transmitted{}
	o := newOutbox(sent.transmit)
	for number := range uint64(2 * maxQueuedMessages) {
		o.send(0, "peer", number, completeFrame(4*maxFragmentBytes, byte('a'+number)))
	}
	if got := len(o.queues["peer"]); got != maxQueuedMessages {
		t.Errorf("%d messages are queued, want %d", got, maxQueuedMessages)
	}
	sent.frames = nil // lost with the connection
	o.dropExpired(fragmentAckTimeout)
	if got := len(sent.frames); got != 0 {
		t.Errorf("%d frames are sent at the timeout, want 0: the first message is dropped too early", got)
	}
	o.dropExpired(fragmentAckTimeout + time.Millisecond)
	messages, _ := sent.deliver(t, o, fragmentAckTimeout)
	if len(messages) != maxQueuedMessages-1 || messages[0][0] != 'b' {
		t.Errorf("got %d messages, beginning with %q, want %d, the first beginning with b",
			len(messages), firstBytes(messages), maxQueuedMessages-1)
	}
}

func firstBytes(messages [][]byte) string {
	var first []byte
	for _, message := range messages {
		first = append(first, message[0])
	}
	return string(first)
}
