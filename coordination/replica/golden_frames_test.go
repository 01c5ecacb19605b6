package replica

import (
	"bytes"
	"compress/gzip"
	"encoding/hex"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"raventrestle/coordination/chain"
	"raventrestle/coordination/engine"
	"raventrestle/coordination/view"
)

// The frames in testdata/golden/frames.txt.gz were sent by an earlier release; each line has a name and the bytes in hex.
// Processes of both releases run at the same time, so the current code must send and accept the same frames. Never
// regenerate the file to make a test pass.

// goldenSent is a transport that records the frames it is given.
type goldenSent struct{ frames [][]byte }

func (s *goldenSent) Send(address string, frame []byte) {
	s.frames = append(s.frames, bytes.Clone(frame))
}

// goldenMessages returns a small message and one that is sent in three fragments.
func goldenMessages() (small, large chain.Message) {
	small = chain.Message{
		From: "identity-1", To: "identity-2", Epoch: 3,
		Hello: &chain.Hello{Member: view.Member{Identity: "identity-4", Address: "10.0.0.5:7500", Zone: "zone-6", Tag: "tag-7"}},
	}
	command := make([]byte, 2*64<<10+100)
	for i := range command {
		command[i] = byte(i >> 8)
	}
	large = chain.Message{
		From: "identity-1", To: "identity-2", Epoch: 3,
		Forward: &chain.Forward{ID: chain.CommandID{Proposer: 8, Number: 9}, Command: command},
	}
	return small, large
}

// goldenReplica returns a replica without an engine, which can only send and receive messages.
func goldenReplica(sent *goldenSent) *Replica {
	r := &Replica{
		config:            Config{Transport: sent, Clock: time.Now, RecordEvent: func(string, ...any) {}},
		lastMessageNumber: 0x0102030405060706,
	}
	r.outbox = newOutbox(sent.Send)
	return r
}

// goldenFrames sends both messages to a peer that acknowledges the fragments, and returns the frames of both directions.
func goldenFrames(t *testing.T) (names []string, frames [][]byte) {
	t.Helper()
	var there, back goldenSent
	sender, receiver := goldenReplica(&there), goldenReplica(&back)
	small, large := goldenMessages()
	sender.send(chain.Envelope{Address: "receiver", Message: small})
	sender.send(chain.Envelope{Address: "receiver", Message: large})
	received := 0
	for i := 0; i < len(there.frames); i++ {
		names, frames = append(names, fmt.Sprint("sent", i)), append(frames, there.frames[i])
		input, complete := receiver.receive("sender", there.frames[i])
		if complete {
			received++
			checkGoldenMessage(t, input)
		}
		for _, answer := range back.frames {
			names, frames = append(names, fmt.Sprint("answered", i)), append(frames, answer)
			if _, complete := sender.receive("receiver", answer); complete {
				t.Errorf("the answer to frame %d completes a message, want none", i)
			}
		}
		back.frames = nil
	}
	if received != 2 {
		t.Errorf("%d messages are received, want 2", received)
	}
	return names, frames
}

func checkGoldenMessage(t *testing.T, input engine.Input) {
	t.Helper()
	small, large := goldenMessages()
	want := small
	if input.Message != nil && input.Message.Forward != nil {
		want = large
	}
	wantBody, err := cbor.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	gotBody, err := cbor.Marshal(input.Message)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(gotBody, wantBody) || input.Address != "sender" {
		t.Errorf("from %q: %x, want from %q: %x", input.Address, gotBody, "sender", wantBody)
	}
}

// readGoldenFrames returns the frames of the earlier release in the order of sending.
func readGoldenFrames(t *testing.T) (names []string, frames [][]byte) {
	t.Helper()
	file, err := os.Open(filepath.Join("testdata", "golden", "frames.txt.gz"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }() // it was only read
	unpacked, err := gzip.NewReader(file)
	if err != nil {
		t.Fatal(err)
	}
	text, err := io.ReadAll(unpacked)
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		name, code, _ := strings.Cut(strings.TrimSpace(line), " ")
		frame, err := hex.DecodeString(code)
		if err != nil {
			t.Fatal(err)
		}
		names, frames = append(names, name), append(frames, frame)
	}
	return names, frames
}

func TestGoldenFramesAreSentAgain(t *testing.T) {
	names, frames := goldenFrames(t)
	wantNames, want := readGoldenFrames(t)
	if got, want := strings.Join(names, " "), strings.Join(wantNames, " "); got != want {
		t.Fatalf("frames %q, want %q", got, want)
	}
	for i := range frames {
		if !bytes.Equal(frames[i], want[i]) {
			t.Errorf("%s: %s, want %s", names[i], shortHex(frames[i]), shortHex(want[i]))
		}
	}
}

// shortHex formats the length and the first 40 bytes of a frame, which include its header.
func shortHex(frame []byte) string {
	return fmt.Sprintf("%d bytes %x...", len(frame), frame[:min(len(frame), 40)])
}

// The current code accepts the frames of the earlier release and sends the same acknowledgements.
func TestGoldenFramesAreTakenIn(t *testing.T) {
	var sent goldenSent
	receiver := goldenReplica(&sent)
	names, frames := readGoldenFrames(t)
	received := 0
	for i, name := range names {
		if !strings.HasPrefix(name, "sent") {
			continue
		}
		sent.frames = nil
		input, complete := receiver.receive("sender", frames[i])
		if complete {
			received++
			checkGoldenMessage(t, input)
		}
		var want [][]byte
		if i+1 < len(names) && strings.HasPrefix(names[i+1], "answered") {
			want = frames[i+1 : i+2]
		}
		if fmt.Sprintf("%x", sent.frames) != fmt.Sprintf("%x", want) {
			t.Errorf("%s is answered by %x, want %x", name, sent.frames, want)
		}
	}
	if received != 2 {
		t.Errorf("%d messages are received, want 2", received)
	}
}
