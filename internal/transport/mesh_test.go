package transport

import (
	"net"
	"testing"
	"time"
)

func newTestMesh(t *testing.T, handler Handler) *Mesh {
	t.Helper()
	mesh := NewMesh(newTestCodec(), "self", handler)
	t.Cleanup(func() {
		mesh.Close()
		mesh.Wait()
	})
	return mesh
}

func TestMeshSendsAndReceivesAnswers(t *testing.T) {
	atServer, atMesh := newRecorder(), newRecorder()
	server := listen(t, atServer)
	mesh := newTestMesh(t, atMesh)
	for i := range 100 {
		mesh.Send(server.Address(), other{A: i})
	}
	var first *Connection
	for i := range 100 {
		a := atServer.next(t)
		if got := a.message.(*other).A; got != i {
			t.Fatalf("got message %d, want %d", got, i)
		}
		if first == nil {
			first = a.connection
		}
		if a.connection != first {
			t.Fatalf("message %d: got another connection than for the first, want one connection to one peer", i)
		}
	}
	send(t, first, note{Text: "answer"})
	atMesh.wantText(t, "answer")
	if got := mesh.Dropped(); got != 0 {
		t.Errorf("got %d dropped messages, want none", got)
	}
}

// TestMeshDialsAgain loses the connection, and then sends until a message comes through on a new one.
func TestMeshDialsAgain(t *testing.T) {
	atServer, atMesh := newRecorder(), newRecorder()
	server := listen(t, atServer)
	mesh := newTestMesh(t, atMesh)
	mesh.Send(server.Address(), note{Text: "first"})
	old := atServer.wantText(t, "first")
	old.Close()
	if a := atMesh.next(t); a.err == nil {
		t.Fatalf("at the mesh: got %+v, want the end of the connection", a)
	}
	if a := atServer.next(t); a.err == nil {
		t.Fatalf("at the server: got %+v, want the end of the connection", a)
	}
	mesh.Send(server.Address(), note{Text: "second"})
	if atServer.wantText(t, "second") == old {
		t.Error("got the second message on the connection that had ended, want a new one")
	}
}

// TestMeshReachesAPeerThatStartsLater sends before the peer listens.
func TestMeshReachesAPeerThatStartsLater(t *testing.T) {
	reserved := listen(t, newRecorder())
	address := reserved.Address()
	stop(t, reserved)
	mesh := newTestMesh(t, newRecorder())
	mesh.Send(address, note{Text: "early"})
	atServer := newRecorder()
	server, err := Listen(address, newTestCodec(), atServer)
	if err != nil {
		t.Skipf("the port was taken meanwhile: %v", err)
	}
	t.Cleanup(func() { stop(t, server) })
	atServer.wantText(t, "early")
}

func TestMeshDropsExpiredMessages(t *testing.T) {
	reserved := listen(t, newRecorder())
	stop(t, reserved)
	mesh := newTestMesh(t, newRecorder())
	mesh.Send(reserved.Address(), note{Text: "lost"})
	mesh.tasks.Wait() // the dialing goroutine ends when nothing is left
	if got := mesh.Dropped(); got != 1 {
		t.Errorf("got %d dropped messages, want 1", got)
	}
	mesh.Send(reserved.Address(), struct{}{})
	if got := mesh.Dropped(); got != 2 {
		t.Errorf("got %d dropped messages, want 2 with one of an unregistered type", got)
	}
	mesh.Close()
	mesh.Send(reserved.Address(), note{Text: "after the close"})
	if got := mesh.Dropped(); got != 3 {
		t.Errorf("got %d dropped messages, want 3 with one after the close", got)
	}
}

// TestMeshQueueIsBounded sends more than a peer's queue takes while no connection is made: the newest messages stay.
func TestMeshQueueIsBounded(t *testing.T) {
	mesh := newTestMesh(t, newRecorder())
	p := &peer{mesh: mesh, address: "nowhere", dialing: true}
	now := time.Now()
	for i := range maxPeerQueueFrames + 10 {
		p.send(other{A: i}, now)
	}
	if len(p.queue) != maxPeerQueueFrames || mesh.Dropped() != 10 {
		t.Errorf("got %d messages in the queue and %d dropped, want %d and 10", len(p.queue), mesh.Dropped(), maxPeerQueueFrames)
	}
	p.send(note{Body: make([]byte, 7<<20)}, now)
	p.send(note{Body: make([]byte, 7<<20)}, now)
	p.send(note{Body: make([]byte, 7<<20)}, now)
	if p.queuedBytes > maxPeerQueueBytes || len(p.queue) == 0 {
		t.Errorf("got %d bytes and %d frames in the queue, want %d bytes at the utmost and a frame or more",
			p.queuedBytes, len(p.queue), maxPeerQueueBytes)
	}
	if _, proceed := p.next(now.Add(messageTTL)); proceed || p.queue != nil || p.queuedBytes != 0 {
		t.Errorf("got %d messages of %d bytes in the queue and proceed %v, want none and false",
			len(p.queue), p.queuedBytes, proceed)
	}
}

func TestMeshBackoffGrowsAndIsReset(t *testing.T) {
	p := &peer{mesh: newTestMesh(t, newRecorder()), address: "nowhere"}
	now := time.Now()
	for _, want := range []time.Duration{50, 100, 200, 400, 500, 500} {
		p.adopt(nil, now)
		if p.backoff != want*time.Millisecond || !p.nextDialAt.Equal(now.Add(p.backoff)) {
			t.Errorf("got a backoff of %v and the next dial %v later, want %d ms", p.backoff, p.nextDialAt.Sub(now), want)
		}
	}
	lasting := &Connection{}
	p.connection, p.connectedAt = lasting, now
	p.connectionLost(lasting, now.Add(time.Minute))
	if p.backoff != 0 || p.connection != nil {
		t.Errorf("after a connection that lasted: got a backoff of %v and connection %p, want neither", p.backoff, p.connection)
	}
	p.connection, p.connectedAt = lasting, now
	p.connectionLost(lasting, now.Add(time.Millisecond))
	if p.backoff != minRedialBackoff {
		t.Errorf("after a connection that did not last: got a backoff of %v, want %v", p.backoff, minRedialBackoff)
	}
}

// TestMeshClosesWhileItDials closes while dials to a peer that never answers are under way.
func TestMeshClosesWhileItDials(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	mesh := NewMesh(newTestCodec(), "self", newRecorder())
	for range 100 {
		mesh.Send(listener.Addr().String(), note{Text: "into the void"})
	}
	mesh.Close()
	mesh.Close()
	mesh.Wait()
}
