package systemsim

import (
	"time"
)

// Times of the connections between instances, as those of package transport.
const (
	meshDialTimeout = time.Second
	messageTTL      = time.Second // that waits for a connection
	minMeshBackoff  = 50 * time.Millisecond
	maxMeshBackoff  = 500 * time.Millisecond
)

// mesh sends to other instances over one outgoing stream each.
type mesh struct {
	owner *instance
	links map[string]*meshLink
}

type meshLink struct {
	to         *instance
	stream     *stream
	up         bool
	pending    []pendingMessage
	backoff    time.Duration
	backingOff bool
}

type pendingMessage struct {
	queuedAt time.Duration
	message  any
}

func newMesh(owner *instance) mesh { return mesh{owner: owner, links: make(map[string]*meshLink)} }

func (m *mesh) send(address string, message any) {
	link := m.links[address]
	if link == nil {
		to := m.owner.world.instanceAt(address)
		if to == nil {
			return
		}
		link = &meshLink{to: to, backoff: minMeshBackoff}
		m.links[address] = link
	}
	if link.up {
		link.stream.endOf(&m.owner.process).send(message)
		return
	}
	link.pending = append(link.pending, pendingMessage{queuedAt: m.owner.world.Now(), message: message})
	m.dial(link)
}

func (m *mesh) dial(link *meshLink) {
	if link.stream != nil || link.backingOff {
		return
	}
	link.stream = m.owner.world.network.dial(&m.owner.process, &link.to.process, meshDialTimeout)
}

func (m *mesh) opened(s *stream) {
	for _, link := range m.links {
		if link.stream != s {
			continue
		}
		link.up, link.backoff = true, minMeshBackoff
		for _, w := range link.pending {
			if m.owner.world.Now()-w.queuedAt < messageTTL {
				s.endOf(&m.owner.process).send(w.message)
			}
		}
		link.pending = nil
	}
}

func (m *mesh) ended(s *stream) {
	for _, link := range m.links {
		if link.stream != s {
			continue
		}
		link.stream, link.up, link.backingOff = nil, false, true
		pause := link.backoff
		link.backoff = min(maxMeshBackoff, 2*link.backoff)
		m.owner.after(pause, func() {
			link.backingOff = false
			if len(link.pending) > 0 {
				m.dial(link)
			}
		})
	}
}
