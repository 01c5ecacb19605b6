package transport

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
)

const testTimeout = 10 * time.Second // for what takes milliseconds

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type note struct {
	Text string `cbor:"1,keyasint"`
	Body []byte `cbor:"2,keyasint,omitempty"`
}

type other struct{ A int }

func newTestCodec() *Codec {
	codec := NewCodec()
	codec.Register(1, note{})
	codec.Register(2, &other{})
	return codec
}

type arrival struct {
	connection *Connection
	message    any
	err        error // of Closed
}

// recorder is a handler that passes on what it receives.
type recorder struct {
	arrivals chan arrival
	released chan struct{} // if not nil, Message blocks until it can receive from it
}

func newRecorder() *recorder { return &recorder{arrivals: make(chan arrival, 100_000)} }

func (r *recorder) Message(c *Connection, message any) {
	r.arrivals <- arrival{connection: c, message: message}
	if r.released != nil {
		<-r.released
	}
}

func (r *recorder) Closed(c *Connection, err error) {
	r.arrivals <- arrival{connection: c, err: err}
}

func (r *recorder) next(t *testing.T) arrival {
	t.Helper()
	select {
	case a := <-r.arrivals:
		return a
	case <-time.After(testTimeout):
		t.Fatalf("got nothing in %v, want a message or the end of a connection", testTimeout)
		return arrival{}
	}
}

func (r *recorder) wantText(t *testing.T, text string) *Connection {
	t.Helper()
	a := r.next(t)
	message, ok := a.message.(*note)
	if !ok || message.Text != text {
		t.Fatalf("got %+v, want a note %q", a, text)
	}
	return a.connection
}

func listen(t *testing.T, handler Handler) *Server {
	t.Helper()
	server, err := Listen("127.0.0.1:0", newTestCodec(), handler)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { stop(t, server) })
	return server
}

func stop(t *testing.T, server *Server) {
	t.Helper()
	if err := server.Close(); err != nil {
		t.Error(err)
	}
	server.Wait()
}

func dial(t *testing.T, address string, handler Handler, changes ...Option) *Connection {
	t.Helper()
	c, err := Dial(t.Context(), address, newTestCodec(), handler, changes...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		c.Close()
		<-c.Done()
	})
	return c
}

func send(t *testing.T, c *Connection, message any) {
	t.Helper()
	if err := c.Send(message); err != nil {
		t.Fatal(err)
	}
}

func TestMessagesGoBothWays(t *testing.T) {
	atServer, atClient := newRecorder(), newRecorder()
	server := listen(t, atServer)
	client := dial(t, server.Address(), atClient)
	if client.RemoteAddress() != server.Address() {
		t.Errorf("got the remote address %s, want %s", client.RemoteAddress(), server.Address())
	}
	send(t, client, note{Text: "value"})
	accepted := atServer.wantText(t, "value")
	send(t, client, &note{Text: "pointer", Body: bytes.Repeat([]byte{7}, 5<<20)})
	atServer.wantText(t, "pointer")
	frame, err := newTestCodec().Encode(note{Text: "encoded before"})
	if err != nil {
		t.Fatal(err)
	}
	if err := accepted.SendFrame(frame); err != nil {
		t.Fatal(err)
	}
	atClient.wantText(t, "encoded before")
	send(t, accepted, note{Text: "not \xff UTF-8"})
	atClient.wantText(t, "not \xff UTF-8")
	client.Close()
	if a := atClient.next(t); !errors.Is(a.err, ErrClosed) {
		t.Errorf("after the own close: got %v, want %v", a.err, ErrClosed)
	}
	a := atServer.next(t)
	if !errors.Is(a.err, io.EOF) || !strings.Contains(a.err.Error(), accepted.RemoteAddress()) {
		t.Errorf("after the peer's close: got %v, want %v from %s", a.err, io.EOF, accepted.RemoteAddress())
	}
	if err := client.Send(note{}); !errors.Is(err, ErrClosed) {
		t.Errorf("send after close: got %v, want %v", err, ErrClosed)
	}
}

func TestOrderIsKept(t *testing.T) {
	const messages = 20_000
	atServer := newRecorder()
	server := listen(t, atServer)
	client := dial(t, server.Address(), newRecorder())
	for i := range messages {
		send(t, client, other{A: i})
	}
	for i := range messages {
		if got := atServer.next(t).message.(*other).A; got != i {
			t.Fatalf("got message %d, want %d", got, i)
		}
	}
}

func TestQueueIsBounded(t *testing.T) {
	slow := newRecorder()
	slow.released = make(chan struct{})
	server := listen(t, slow)
	t.Cleanup(func() { close(slow.released) })
	for name, bound := range map[string]Option{
		"bytes":  WithQueue(1<<20, 1<<20),
		"frames": WithQueue(1<<30, 8),
	} {
		client := dial(t, server.Address(), newRecorder(), bound)
		message := note{Body: make([]byte, 256<<10)}
		var err error
		for range 10_000 { // the kernel takes some of them
			if err = client.Send(message); err != nil {
				break
			}
		}
		if !errors.Is(err, ErrQueueFull) {
			t.Errorf("%s: got %v while the peer does not read, want %v", name, err, ErrQueueFull)
		}
		client.Close()
	}
}

func TestWriteTimeoutEndsTheConnectionToAPeerThatDoesNotRead(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	atClient := newRecorder()
	client := dial(t, listener.Addr().String(), atClient, WithTimeouts(time.Second, 50*time.Millisecond))
	send(t, client, note{Body: make([]byte, MaxFrameBytes-100)})
	send(t, client, note{Body: make([]byte, MaxFrameBytes-100)})
	err = atClient.next(t).err
	if err == nil || !strings.Contains(err.Error(), "write to "+client.RemoteAddress()) {
		t.Errorf("got %v, want an error that names the write to %s", err, client.RemoteAddress())
	}
}

func TestUnknownAndTooLargeMessagesAreRejected(t *testing.T) {
	atServer := newRecorder()
	server := listen(t, atServer)
	client := dial(t, server.Address(), newRecorder())
	if err := client.Send(struct{ B int }{}); !errors.Is(err, ErrUnknownType) {
		t.Errorf("unknown type: got %v, want %v", err, ErrUnknownType)
	}
	if err := client.Send(nil); !errors.Is(err, ErrUnknownType) {
		t.Errorf("nil: got %v, want %v", err, ErrUnknownType)
	}
	if err := client.Send(note{Body: make([]byte, MaxFrameBytes)}); !errors.Is(err, ErrFrameTooLarge) {
		t.Errorf("too large: got %v, want %v", err, ErrFrameTooLarge)
	}
	send(t, client, note{Text: "still works"})
	atServer.wantText(t, "still works")
}

func TestMalformedBytesEndTheConnection(t *testing.T) {
	frame := func(kind byte, body string) []byte {
		header := binary.BigEndian.AppendUint32(nil, uint32(len(body)+1))
		return append(append(header, kind), body...)
	}
	for name, test := range map[string]struct {
		sent []byte
		want error
	}{
		"too large":     {[]byte{0xff, 0xff, 0xff, 0xff, 1}, ErrFrameTooLarge},
		"no kind":       {[]byte{0, 0, 0, 0, 1}, ErrFrameTooSmall},
		"unknown kind":  {frame(77, "\xa0"), ErrUnknownKind},
		"half a header": {[]byte{0, 0}, io.ErrUnexpectedEOF},
		"half a body":   {frame(1, "\xa0\xa0\xa0")[:6], io.ErrUnexpectedEOF},
		"no body":       {frame(1, "")[:5], io.EOF},
		"trailing":      {frame(1, "\xa0\xa0"), nil},
		"not cbor":      {frame(1, "\xff\xff"), nil},
		"wrong type":    {frame(1, "\xa1\x01\x05"), nil},
		"huge array":    {frame(1, "\xa1\x02\x9b\x00\x00\x00\x00\xff\xff\xff\xff"), nil},
	} {
		t.Run(name, func(t *testing.T) {
			atServer := newRecorder()
			server := listen(t, atServer)
			client, err := net.Dial("tcp", server.Address())
			if err != nil {
				t.Fatal(err)
			}
			defer client.Close()
			if _, err := client.Write(test.sent); err != nil {
				t.Fatal(err)
			}
			_ = client.(*net.TCPConn).CloseWrite()
			a := atServer.next(t)
			if a.err == nil || !strings.Contains(a.err.Error(), client.LocalAddr().String()) {
				t.Fatalf("got %v, want an error that names %s", a.err, client.LocalAddr())
			}
			if test.want != nil && !errors.Is(a.err, test.want) {
				t.Errorf("got %v, want %v", a.err, test.want)
			}
		})
	}
}

func TestServerCloseEndsItsConnections(t *testing.T) {
	atServer, atClient := newRecorder(), newRecorder()
	server := listen(t, atServer)
	client := dial(t, server.Address(), atClient)
	send(t, client, note{Text: "in"})
	atServer.wantText(t, "in")
	stop(t, server)
	if a := atServer.next(t); !errors.Is(a.err, ErrClosed) {
		t.Errorf("at the server: got %v, want %v", a.err, ErrClosed)
	}
	if a := atClient.next(t); a.err == nil {
		t.Errorf("at the client: got %+v, want the end of the connection", a)
	}
}

func TestDialFails(t *testing.T) {
	server := listen(t, newRecorder())
	stop(t, server)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	_, err := Dial(ctx, server.Address(), newTestCodec(), newRecorder())
	if err == nil || !strings.Contains(err.Error(), "dial "+server.Address()) {
		t.Errorf("dial: got %v, want an error that names the dial of %s", err, server.Address())
	}
	if _, err := Listen("256.0.0.1:0", newTestCodec(), newRecorder()); err == nil {
		t.Error("listen at a malformed address: got no error, want one")
	}
}

func TestLargeBuffersAreReleased(t *testing.T) {
	codec := newTestCodec()
	frame, err := codec.Encode(note{Body: make([]byte, 1<<20)})
	if err != nil {
		t.Fatal(err)
	}
	reader := newFrameReader(bytes.NewReader(frame))
	if _, _, err := reader.next(); err != nil {
		t.Fatal(err)
	}
	reader.releaseBody()
	if cap(reader.body) > maxRetainedBytes {
		t.Errorf("got %d bytes retained, want %d at the utmost", cap(reader.body), maxRetainedBytes)
	}
}

func FuzzFrames(f *testing.F) {
	codec := newTestCodec()
	for _, message := range []any{note{Text: "text", Body: []byte("body")}, other{A: 3}} {
		frame, err := codec.Encode(message)
		if err != nil {
			f.Fatal(err)
		}
		f.Add([]byte(frame))
		f.Add([]byte(append(frame, frame...)))
		f.Add([]byte(frame[:len(frame)-1]))
	}
	f.Add([]byte{0, 0x7f, 0xff, 0xff, 1, 0xa0})
	f.Fuzz(func(t *testing.T, stream []byte) {
		reader := newFrameReader(bytes.NewReader(stream))
		for {
			kind, body, err := reader.next()
			if err != nil {
				break
			}
			if len(body)+headerBytes > len(stream) {
				t.Fatalf("got a body of %d bytes from a stream of %d, want less", len(body), len(stream))
			}
			message, err := codec.Decode(kind, body)
			reader.releaseBody()
			if err != nil {
				break
			}
			if _, err := codec.Encode(message); err != nil {
				t.Fatalf("encode the decoded %+v: got %v, want no error", message, err)
			}
		}
		if cap(reader.body) > 2*len(stream)+2*bodyStepBytes {
			t.Fatalf("got %d bytes retained for a stream of %d, want %d at the utmost", cap(reader.body), len(stream),
				2*len(stream)+2*bodyStepBytes)
		}
	})
}
