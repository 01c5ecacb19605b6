package transport

import (
	"context"
	"errors"
	"sync"
	"time"
)

// peer is the mesh's sending side to one address. It has one connection or none, and while messages wait in the
// queue one goroutine that makes a connection (connect).
type peer struct {
	mesh    *Mesh
	address string

	mutex       sync.Mutex
	queue       []pendingFrame // waiting for a connection, oldest first; empty while there is one
	queuedBytes int            // in queue
	connection  *Connection    // nil: none
	connectedAt time.Time      // when connection was made
	dialing     bool           // the goroutine of connect runs
	closed      bool
	backoff     time.Duration // wait before the next dial; 0 after a connection that lasted
	nextDialAt  time.Time     // end of that wait
}

// pendingFrame is a message that waits for a connection.
type pendingFrame struct {
	frame     Frame
	expiresAt time.Time
}

// send passes a message to the connection, or queues it and has a connection made.
func (p *peer) send(message any, now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.connection != nil {
		err := p.connection.Send(message)
		if err == nil {
			return
		}
		if !errors.Is(err, ErrClosed) {
			p.mesh.dropped.Add(1) // a full queue, or a message that can't be encoded
			return
		}
		p.connectionLost(p.connection, now)
	}
	frame, err := p.mesh.codec.Encode(message)
	if err != nil || p.closed {
		p.mesh.dropped.Add(1)
		return
	}
	p.enqueue(frame, now)
	if !p.dialing && len(p.queue) > 0 {
		p.dialing = true
		p.mesh.tasks.Add(1)
		go p.connect()
	}
}

// enqueue adds a frame to the queue, and drops the oldest ones where it exceeds its bounds.
func (p *peer) enqueue(frame Frame, now time.Time) {
	p.queue = append(p.queue, pendingFrame{frame: frame, expiresAt: now.Add(messageTTL)})
	p.queuedBytes += len(frame)
	for len(p.queue) > maxPeerQueueFrames || p.queuedBytes > maxPeerQueueBytes {
		p.dropOldest()
	}
}

func (p *peer) dropOldest() {
	p.queuedBytes -= len(p.queue[0].frame)
	p.queue[0].frame = nil
	p.queue = p.queue[1:]
	p.mesh.dropped.Add(1)
}

// connect dials, with backoff, until there is a connection or nothing left to send. It is the body of the peer's
// goroutine.
func (p *peer) connect() {
	defer p.mesh.tasks.Done()
	for {
		wait, proceed := p.next(time.Now())
		if !proceed {
			return
		}
		if wait > 0 && !p.sleep(wait) {
			continue // the mesh was closed, which next finds
		}
		connection := p.dial()
		if p.adopt(connection, time.Now()) {
			return
		}
	}
}

// next drops expired messages and returns how long to wait before the next dial; proceed is false where none is needed.
func (p *peer) next(now time.Time) (wait time.Duration, proceed bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for len(p.queue) > 0 && !now.Before(p.queue[0].expiresAt) {
		p.dropOldest()
	}
	if p.closed || len(p.queue) == 0 {
		p.dialing = false
		p.queue, p.queuedBytes = nil, 0
		return 0, false
	}
	return p.nextDialAt.Sub(now), true
}

// sleep waits, and returns false where the mesh was closed meanwhile.
func (p *peer) sleep(wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-p.mesh.ctx.Done():
		return false
	}
}

// dial returns a connection that has not been started, or nil.
func (p *peer) dial() *Connection {
	ctx, cancel := context.WithTimeout(p.mesh.ctx, dialTimeout)
	defer cancel()
	connection, err := connect(ctx, p.address, p.mesh.codec, peerHandler{p}, p.mesh.config)
	if err != nil {
		return nil // connect dials again while there is something to send
	}
	return connection
}

// adopt starts a connection and sends what is queued; nil increases the backoff. It returns false where another dial is
// needed.
func (p *peer) adopt(connection *Connection, now time.Time) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if connection == nil {
		p.increaseBackoff(now)
		return false
	}
	p.dialing = false
	p.mesh.tasks.Add(1)
	connection.start()
	if p.closed {
		connection.Close()
		return true
	}
	p.connection, p.connectedAt = connection, now
	for _, message := range p.queue {
		if !now.Before(message.expiresAt) || connection.SendFrame(message.frame) != nil {
			p.mesh.dropped.Add(1)
		}
	}
	p.queue, p.queuedBytes = nil, 0
	return true
}

// increaseBackoff doubles the wait before the next dial, between its bounds.
func (p *peer) increaseBackoff(now time.Time) {
	p.backoff = min(max(2*p.backoff, minRedialBackoff), maxRedialBackoff)
	p.nextDialAt = now.Add(p.backoff)
}

// connectionLost removes a connection that has ended. One that ended soon after it was made counts as a failed dial, so
// that a peer which accepts and closes is not dialed in a tight loop.
func (p *peer) connectionLost(connection *Connection, now time.Time) {
	if p.connection != connection {
		return
	}
	p.connection = nil
	if now.Sub(p.connectedAt) >= maxRedialBackoff {
		p.backoff = 0
		return
	}
	p.increaseBackoff(now)
}

func (p *peer) close() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.closed = true
	p.queue, p.queuedBytes = nil, 0
	if p.connection != nil {
		p.connection.Close()
	}
}

// peerHandler is the handler of a peer's connection: it passes everything on to the mesh's handler, and has the peer drop
// the connection before that learns of its end.
type peerHandler struct{ peer *peer }

// Message implements Handler.
func (h peerHandler) Message(c *Connection, message any) { h.peer.mesh.handler.Message(c, message) }

// Closed implements Handler.
func (h peerHandler) Closed(c *Connection, err error) {
	h.peer.mutex.Lock()
	h.peer.connectionLost(c, time.Now())
	h.peer.mutex.Unlock()
	h.peer.mesh.handler.Closed(c, err)
	h.peer.mesh.tasks.Done()
}
