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

func TestMeshSendsAndHearsAnswers(t *testing.T) {
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
			t.Fatalf("message %d came in place of %d", got, i)
		}
		if first == nil {
			first = a.connection
		}
		if a.connection != first {
			t.Fatal("more than one connection to one peer")
		}
	}
	send(t, first, note{Text: "answer"})
	atMesh.wantText(t, "answer")
	if mesh.Dropped() != 0 {
		t.Errorf("%d dropped", mesh.Dropped())
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
		t.Fatalf("got %+v", a)
	}
	if a := atServer.next(t); a.err == nil {
		t.Fatalf("got %+v", a)
	}
	mesh.Send(server.Address(), note{Text: "second"})
	if atServer.wantText(t, "second") == old {
		t.Error("the ended connection carried a message")
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

func TestMeshDropsWhatIsTooOld(t *testing.T) {
	reserved := listen(t, newRecorder())
	stop(t, reserved)
	mesh := newTestMesh(t, newRecorder())
	mesh.Send(reserved.Address(), note{Text: "lost"})
	mesh.tasks.Wait() // the dialling goroutine ends when nothing is left
	if mesh.Dropped() != 1 {
		t.Errorf("%d dropped", mesh.Dropped())
	}
	mesh.Send(reserved.Address(), struct{}{})
	if mesh.Dropped() != 2 {
		t.Errorf("%d dropped, with one of no known type", mesh.Dropped())
	}
	mesh.Close()
	mesh.Send(reserved.Address(), note{Text: "after the close"})
	if mesh.Dropped() != 3 {
		t.Errorf("%d dropped, with one after the close", mesh.Dropped())
	}
}

// TestMeshQueueIsBounded holds a peer's dialling and sends more than the queue takes: the newest stay.
func TestMeshQueueIsBounded(t *testing.T) {
	mesh := newTestMesh(t, newRecorder())
	p := &peer{mesh: mesh, address: "nowhere", dialing: true}
	now := time.Now()
	for i := range maxPeerQueueFrames + 10 {
		p.send(other{A: i}, now)
	}
	if len(p.queue) != maxPeerQueueFrames || mesh.Dropped() != 10 {
		t.Errorf("%d in the queue, %d dropped", len(p.queue), mesh.Dropped())
	}
	p.send(note{Body: make([]byte, 7<<20)}, now)
	p.send(note{Body: make([]byte, 7<<20)}, now)
	p.send(note{Body: make([]byte, 7<<20)}, now)
	if p.queuedBytes > maxPeerQueueBytes || len(p.queue) == 0 {
		t.Errorf("%d bytes and %d frames in the queue", p.queuedBytes, len(p.queue))
	}
	if _, proceed := p.next(now.Add(messageTTL)); proceed || p.queue != nil || p.queuedBytes != 0 {
		t.Error("old messages stayed")
	}
}

func TestMeshPausesGrow(t *testing.T) {
	p := &peer{mesh: newTestMesh(t, newRecorder()), address: "nowhere"}
	now := time.Now()
	for _, want := range []time.Duration{50, 100, 200, 400, 500, 500} {
		p.adopt(nil, now)
		if p.backoff != want*time.Millisecond || !p.nextDialAt.Equal(now.Add(p.backoff)) {
			t.Errorf("the pause is %v, want %d ms", p.backoff, want)
		}
	}
	lasting := &Connection{}
	p.connection, p.connectedAt = lasting, now
	p.connectionLost(lasting, now.Add(time.Minute))
	if p.backoff != 0 || p.connection != nil {
		t.Errorf("after a connection that lasted the pause is %v", p.backoff)
	}
	p.connection, p.connectedAt = lasting, now
	p.connectionLost(lasting, now.Add(time.Millisecond))
	if p.backoff != minRedialBackoff {
		t.Errorf("after a connection that did not last the pause is %v", p.backoff)
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
