package systemsim

import "time"

// Times of the connections between instances, as those of package transport.
const (
	meshDialTimeout = time.Second
	messageTTL      = time.Second // of one that waits for a stream
	minMeshBackoff  = 50 * time.Millisecond
	maxMeshBackoff  = 500 * time.Millisecond
)

// mesh sends messages to other instances, over one outgoing stream to each.
type mesh struct {
	owner *instance
	links map[string]*meshLink
}

// meshLink is the outgoing stream to one instance, with what waits for it.
type meshLink struct {
	to         *instance
	stream     *stream // nil: none
	up         bool    // stream is open
	pending    []pendingMessage
	backoff    time.Duration
	backingOff bool // it is not dialled yet
}

// pendingMessage is a message that waits for the stream.
type pendingMessage struct {
	queuedAt time.Duration
	message  any
}

func newMesh(owner *instance) mesh { return mesh{owner: owner, links: make(map[string]*meshLink)} }

// send sends a message, once a stream is open. It may be lost.
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

// dial opens the stream, unless there is one or the backoff is not over.
func (m *mesh) dial(link *meshLink) {
	if link.stream != nil || link.backingOff {
		return
	}
	link.stream = m.owner.world.network.dial(&m.owner.process, &link.to.process, meshDialTimeout)
}

// opened sends what waits for a stream and is not too old.
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

// ended forgets a stream and backs off, longer each time.
func (m *mesh) ended(s *stream) {
	for _, link := range m.links {
		if link.stream != s {
			continue
		}
		link.stream, link.up, link.backingOff = nil, false, true
		backoff := link.backoff
		link.backoff = min(maxMeshBackoff, 2*link.backoff)
		m.owner.after(backoff, func() {
			link.backingOff = false
			if len(link.pending) > 0 {
				m.dial(link)
			}
		})
	}
}
