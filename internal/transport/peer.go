package transport

import (
	"context"
	"errors"
	"sync"
	"time"
)

// peer is the mesh's sending side to one address.
type peer struct {
	mesh    *Mesh
	address string

	mutex       sync.Mutex
	queue       []pendingFrame // for a connection
	queuedBytes int            // in queue
	connection  *Connection    // nil while there is none
	connectedAt time.Time      // when connection was made
	dialing     bool           // a goroutine is at work on a connection
	closed      bool
	backoff     time.Duration // before the next dial, after a failure
	nextDialAt  time.Time     // of the next dial
}

type pendingFrame struct {
	frame     Frame
	expiresAt time.Time
}

func (p *peer) send(message any, now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.connection != nil {
		err := p.connection.Send(message)
		if err == nil {
			return
		}
		if !errors.Is(err, ErrClosed) {
			p.mesh.dropped.Add(1)
			return
		}
		p.connectionLost(p.connection, now)
	}
	frame, err := p.mesh.codec.Encode(message)
	if err != nil || p.closed {
		p.mesh.dropped.Add(1)
		return
	}
	p.queue = append(p.queue, pendingFrame{frame: frame, expiresAt: now.Add(messageTTL)})
	p.queuedBytes += len(frame)
	for len(p.queue) > maxPeerQueueFrames || p.queuedBytes > maxPeerQueueBytes {
		p.dropOldest()
	}
	if !p.dialing && len(p.queue) > 0 {
		p.dialing = true
		p.mesh.tasks.Add(1)
		go p.connect()
	}
}

func (p *peer) dropOldest() {
	p.queuedBytes -= len(p.queue[0].frame)
	p.queue[0].frame = nil
	p.queue = p.queue[1:]
	p.mesh.dropped.Add(1)
}

// connect dials until there is a connection or nothing left to send.
func (p *peer) connect() {
	defer p.mesh.tasks.Done()
	for {
		pause, proceed := p.next(time.Now())
		if !proceed {
			return
		}
		if pause > 0 && !p.sleep(pause) {
			continue // closed: next says so
		}
		connection := p.dial()
		if p.adopt(connection, time.Now()) {
			return
		}
	}
}

// next drops what is too old and says how long to wait before the next dial, or that none is needed.
func (p *peer) next(now time.Time) (pause time.Duration, proceed bool) {
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

func (p *peer) sleep(pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-p.mesh.ctx.Done():
		return false
	}
}

func (p *peer) dial() *Connection {
	ctx, cancel := context.WithTimeout(p.mesh.ctx, dialTimeout)
	defer cancel()
	connection, err := connect(ctx, p.address, p.mesh.codec, peerHandler{p}, p.mesh.config)
	if err != nil {
		return nil // the caller dials again while there is something to send
	}
	return connection
}

// adopt takes a connection into use, or notes that there is none.
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

func (p *peer) increaseBackoff(now time.Time) {
	p.backoff = min(max(2*p.backoff, minRedialBackoff), maxRedialBackoff)
	p.nextDialAt = now.Add(p.backoff)
}

// connectionLost forgets a connection that has ended. One that did not last counts as a failed dial.
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

// peerHandler keeps the peer's connection.
type peerHandler struct{ peer *peer }

func (h peerHandler) Message(c *Connection, message any) { h.peer.mesh.handler.Message(c, message) }

func (h peerHandler) Closed(c *Connection, err error) {
	h.peer.mutex.Lock()
	h.peer.connectionLost(c, time.Now())
	h.peer.mutex.Unlock()
	h.peer.mesh.handler.Closed(c, err)
	h.peer.mesh.tasks.Done()
}
