package transport

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

const (
	minRedialBackoff   = 50 * time.Millisecond
	maxRedialBackoff   = 500 * time.Millisecond
	dialTimeout        = time.Second
	messageTTL         = time.Second // a message that has waited longer for a connection is dropped
	maxPeerQueueFrames = 4096        // waiting for the connection to one peer
	maxPeerQueueBytes  = 16 << 20
)

// Mesh sends messages to peers by address, over one outgoing connection to each, which is made when there is something
// to send. Delivery is at most once and not guaranteed: messages to a peer that can't be reached are dropped after
// messageTTL, the oldest first where the queue is full, and so are messages for which a slow peer's connection has no
// capacity. Protocols on top repeat what matters. Its methods may be called by any goroutine.
type Mesh struct {
	codec       *Codec
	selfAddress string
	handler     Handler
	config      config
	dropped     atomic.Uint64
	ctx         context.Context // cancelled by Close; ends dialing and backoff
	cancel      context.CancelFunc
	tasks       sync.WaitGroup // the dialing goroutines, and one for each connection until its Handler.Closed

	mutex  sync.Mutex
	peers  map[string]*peer
	closed bool
}

// NewMesh returns a mesh for the process whose address its peers know as self. The handler receives what peers send back
// on the outgoing connections. Close and Wait end it.
func NewMesh(codec *Codec, self string, handler Handler, options ...Option) *Mesh {
	ctx, cancel := context.WithCancel(context.Background())
	return &Mesh{
		codec:       codec,
		selfAddress: self,
		handler:     handler,
		config:      newConfig(options),
		ctx:         ctx,
		cancel:      cancel,
		peers:       make(map[string]*peer),
	}
}

// SelfAddress returns the address that the mesh was made with.
func (m *Mesh) SelfAddress() string { return m.selfAddress }

// Dropped returns how many messages have been dropped since the start.
func (m *Mesh) Dropped() uint64 { return m.dropped.Load() }

// Send queues a message for the peer at an address (IP:port). It never blocks, and drops the message where it has to.
func (m *Mesh) Send(address string, message any) {
	p := m.peer(address)
	if p == nil {
		m.dropped.Add(1)
		return
	}
	p.send(message, time.Now())
}

// peer returns the sending side to an address, making it at first use; nil once the mesh is closed.
func (m *Mesh) peer(address string) *peer {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.closed {
		return nil
	}
	p := m.peers[address]
	if p == nil {
		p = &peer{mesh: m, address: address}
		m.peers[address] = p
	}
	return p
}

// Close ends all connections without waiting for them: see Wait. Messages that are still queued are lost.
func (m *Mesh) Close() {
	m.mutex.Lock()
	m.closed = true
	m.mutex.Unlock()
	m.cancel()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for _, p := range m.peers {
		p.close()
	}
}

// Wait returns once the mesh has been closed and Handler.Closed has returned for each connection. It must not be called
// by the handler.
func (m *Mesh) Wait() { m.tasks.Wait() }
