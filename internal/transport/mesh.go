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
	messageTTL         = time.Second // a message that waited longer for a connection is dropped
	maxPeerQueueFrames = 4096        // waiting for one peer's connection
	maxPeerQueueBytes  = 16 << 20
)

// Mesh sends messages to peers by address, over one outgoing connection for each of them that is made
// when there is something to send. Messages may be lost: those to a peer that can't be reached are
// dropped after a second, the oldest first where there are too many.
type Mesh struct {
	codec       *Codec
	selfAddress string
	handler     Handler
	config      config
	dropped     atomic.Uint64
	ctx         context.Context // ends with Close
	cancel      context.CancelFunc
	tasks       sync.WaitGroup // dialling goroutines and connections

	mutex  sync.Mutex
	peers  map[string]*peer
	closed bool
}

// NewMesh returns a mesh for the process that its peers know as self. The handler gets what peers send back
// on the outgoing connections.
func NewMesh(codec *Codec, self string, handler Handler, changes ...Option) *Mesh {
	ctx, cancel := context.WithCancel(context.Background())
	return &Mesh{
		codec:       codec,
		selfAddress: self,
		handler:     handler,
		config:      newConfig(changes),
		ctx:         ctx,
		cancel:      cancel,
		peers:       make(map[string]*peer),
	}
}

// SelfAddress returns the name that the mesh was made with.
func (m *Mesh) SelfAddress() string { return m.selfAddress }

// Dropped returns how many messages were given up.
func (m *Mesh) Dropped() uint64 { return m.dropped.Load() }

// Send queues a message for the peer at an address. It never blocks and promises nothing.
func (m *Mesh) Send(address string, message any) {
	p := m.peer(address)
	if p == nil {
		m.dropped.Add(1)
		return
	}
	p.send(message, time.Now())
}

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

// Close ends all connections, and does not wait for them: see Wait.
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

// Wait returns once the mesh has been closed and the handler told of each connection's end. It must not
// be called by the handler.
func (m *Mesh) Wait() { m.tasks.Wait() }
