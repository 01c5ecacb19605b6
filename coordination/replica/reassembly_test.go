package replica

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
)

// Messages of several sizes are reassembled from fragments that arrive in random order, one of them twice.
func TestMessageIsReassembledFromFragments(t *testing.T) {
	sizes := []int{0, 1, maxFragmentBytes, maxFragmentBytes + 1, 3*maxFragmentBytes - 1, 3 * maxFragmentBytes}
	for seed, size := range sizes {
		t.Run(fmt.Sprintf("%d bytes", size), func(t *testing.T) {
			random := rand.New(rand.NewPCG(uint64(seed), 0))
			message := make([]byte, size)
			for i := range message {
				message[i] = byte(i >> 3)
			}
			frames := fragment(7, append([]byte{frameComplete}, message...))
			frames = append(frames, frames[random.IntN(len(frames))])
			random.Shuffle(len(frames), func(i, j int) { frames[i], frames[j] = frames[j], frames[i] })
			var r reassembler
			complete := 0
			for _, frame := range frames {
				got, err := r.add("peer", frame)
				if err != nil {
					t.Fatalf("add: %v, want nil", err)
				}
				if got == nil {
					continue
				}
				complete++
				if !bytes.Equal(got, message) {
					t.Fatalf("got a message of %d bytes, want the one of %d bytes that was sent", len(got), len(message))
				}
			}
			if complete == 0 {
				t.Fatal("got no complete message, want one")
			}
		})
	}
}

func TestMalformedFramesAreRejected(t *testing.T) {
	var r reassembler
	for _, frame := range [][]byte{nil, {9}, {frameFragment}, append([]byte{frameFragment}, make([]byte, 12)...)} {
		if _, err := r.add("peer", frame); err == nil {
			t.Errorf("add(%v): got no error, want %v", frame, errMalformedFrame)
		}
	}
}

func TestIncompleteMessagesOfASenderAreBounded(t *testing.T) {
	var r reassembler
	for number := range uint64(100) {
		if _, err := r.add("peer", fragment(number, make([]byte, maxFragmentBytes+2))[0]); err != nil {
			t.Fatalf("first fragment of message %d: %v, want nil", number, err)
		}
	}
	if got := len(r.bySender["peer"]); got > maxReassembliesPerSender {
		t.Errorf("%d messages are being put together, want at most %d", got, maxReassembliesPerSender)
	}
}
