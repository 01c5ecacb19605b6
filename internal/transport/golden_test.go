package transport

import (
	"bytes"
	"encoding/hex"
	"errors"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// goldenMessages are the content of testdata/golden/frames.hex, as build 73ca247 wrote it, a frame on each line in this order.
func goldenMessages() []any {
	return []any{
		&note{Text: "golden", Body: []byte{1, 2, 255}},
		&note{Text: "not \xff UTF-8"},
		&note{},
		&other{A: 1 << 40},
		&other{A: -3},
		&note{Text: "three hundred", Body: bytes.Repeat([]byte("x"), 300)},
	}
}

func readGoldenFrames(t *testing.T) [][]byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", "golden", "frames.hex"))
	if err != nil {
		t.Fatal(err)
	}
	var frames [][]byte
	for line := range strings.Lines(string(text)) {
		frame, err := hex.DecodeString(strings.TrimSpace(line))
		if err != nil {
			t.Fatal(err)
		}
		frames = append(frames, frame)
	}
	if got, want := len(frames), len(goldenMessages()); got != want {
		t.Fatalf("got %d golden frames, want %d", got, want)
	}
	return frames
}

func TestGoldenFramesAreEncoded(t *testing.T) {
	codec := newTestCodec()
	frames := readGoldenFrames(t)
	for i, message := range goldenMessages() {
		got, err := codec.Encode(message)
		if err != nil || !bytes.Equal(got, frames[i]) {
			t.Errorf("encode %+v:\n got %x, %v\nwant %x", message, got, err, frames[i])
		}
	}
	// EncodeAs writes a type of the same fields as the kind's.
	got, err := codec.EncodeAs(1, struct {
		Title string `cbor:"1,keyasint"`
		Rest  []byte `cbor:"2,keyasint,omitempty"`
	}{Title: "golden", Rest: []byte{1, 2, 255}})
	if err != nil || !bytes.Equal(got, frames[0]) {
		t.Errorf("encode as kind 1:\n got %x, %v\nwant %x", got, err, frames[0])
	}
}

func TestGoldenFramesAreReadFromOneStream(t *testing.T) {
	codec := newTestCodec()
	reader := newFrameReader(bytes.NewReader(bytes.Join(readGoldenFrames(t), nil)))
	for _, want := range goldenMessages() {
		kind, body, err := reader.next()
		if err != nil {
			t.Fatalf("next frame: got %v, want %+v", err, want)
		}
		got, err := codec.Decode(kind, body)
		reader.releaseBody()
		if err != nil {
			t.Fatalf("decode kind %d: got %v, want %+v", kind, err, want)
		}
		if difference := cmp.Diff(want, got); difference != "" {
			t.Errorf("got another message than wanted (-want +got):\n%s", difference)
		}
	}
	if _, _, err := reader.next(); !errors.Is(err, io.EOF) {
		t.Errorf("after the last frame: got %v, want %v", err, io.EOF)
	}
}

// TestGoldenFramesOnTheSocket wants a connection and a mesh to write the frames and nothing else.
func TestGoldenFramesOnTheSocket(t *testing.T) {
	want := bytes.Join(readGoldenFrames(t), nil)
	for name, send := range map[string]func(t *testing.T, address string){
		"connection": func(t *testing.T, address string) {
			t.Helper()
			c := dial(t, address, newRecorder())
			for _, message := range goldenMessages() {
				if err := c.Send(message); err != nil {
					t.Errorf("send %+v: got %v, want no error", message, err)
				}
			}
		},
		"mesh": func(t *testing.T, address string) {
			t.Helper()
			mesh := newTestMesh(t, newRecorder())
			for _, message := range goldenMessages() {
				mesh.Send(address, message)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = listener.Close() }()
			send(t, listener.Addr().String())
			socket, err := listener.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = socket.Close() }()
			if err := socket.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
				t.Fatal(err)
			}
			got := make([]byte, len(want))
			if n, err := io.ReadFull(socket, got); err != nil || !bytes.Equal(got, want) {
				t.Errorf("got %d bytes, %v:\n%x\nwant\n%x", n, err, got, want)
			}
		})
	}
}

// TestGoldenBoundsOfAFrame pins the largest frame, kind and body together.
func TestGoldenBoundsOfAFrame(t *testing.T) {
	codec := newTestCodec()
	const largest = 8 << 20 // kind and body
	overhead := len(mustEncode(t, codec, &note{Body: make([]byte, 1<<20)})) - 1<<20 - 4
	if got := len(mustEncode(t, codec, &note{Body: make([]byte, largest-overhead)})); got != 4+largest {
		t.Errorf("largest frame: got %d bytes, want %d", got, 4+largest)
	}
	if _, err := codec.Encode(&note{Body: make([]byte, largest-overhead+1)}); !errors.Is(err, ErrFrameTooLarge) {
		t.Errorf("a byte more: got %v, want %v", err, ErrFrameTooLarge)
	}
}

func mustEncode(t *testing.T, codec *Codec, message any) Frame {
	t.Helper()
	frame, err := codec.Encode(message)
	if err != nil {
		t.Fatal(err)
	}
	return frame
}

// TestGoldenBounds pins the bounds of queues and waits as build 73ca247 had them.
func TestGoldenBounds(t *testing.T) {
	for _, test := range []struct {
		what      string
		got, want any
	}{
		{"bytes queued by a connection", newConfig(nil).maxQueueBytes, 16 << 20},
		{"frames queued by a connection", newConfig(nil).maxQueueFrames, 1 << 16},
		{"time without acknowledgement", newConfig(nil).tcpUserTimeout, 1500 * time.Millisecond},
		{"time for a write", newConfig(nil).writeTimeout, 5 * time.Second},
		{"shortest wait before dialing again", minRedialBackoff, 50 * time.Millisecond},
		{"longest wait before dialing again", maxRedialBackoff, 500 * time.Millisecond},
		{"time to dial", dialTimeout, time.Second},
		{"time to keep a message for a connection", messageTTL, time.Second},
		{"frames kept for a connection", maxPeerQueueFrames, 4096},
		{"bytes kept for a connection", maxPeerQueueBytes, 16 << 20},
		{"wait after a failed accept", acceptBackoff, 50 * time.Millisecond},
	} {
		if test.got != test.want {
			t.Errorf("%s: got %v, want %v", test.what, test.got, test.want)
		}
	}
}
