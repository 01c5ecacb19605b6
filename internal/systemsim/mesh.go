package systemsim

import "time"

// Times of the connections between instances, as those of package transport.
const (
	meshDial       = time.Second
	messageLasts   = time.Second // that waits for a connection
	firstMeshPause = 50 * time.Millisecond
	mostMeshPause  = 500 * time.Millisecond
)

// mesh sends to other instances over one outgoing stream each.
type mesh struct {
	owner *instance
	links map[string]*meshLink
}

type meshLink struct {
	to      *instance
	stream  *stream
	up      bool
	waiting []waitingMessage
	pause   time.Duration
	resting bool
}

type waitingMessage struct {
	since   time.Duration
	message any
}

func newMesh(owner *instance) mesh { return mesh{owner: owner, links: make(map[string]*meshLink)} }

func (m *mesh) send(address string, message any) {
	link := m.links[address]
	if link == nil {
		to := m.owner.world.instanceAt(address)
		if to == nil {
			return
		}
		link = &meshLink{to: to, pause: firstMeshPause}
		m.links[address] = link
	}
	if link.up {
		link.stream.endOf(&m.owner.process).send(message)
		return
	}
	link.waiting = append(link.waiting, waitingMessage{since: m.owner.world.Now(), message: message})
	m.dial(link)
}

func (m *mesh) dial(link *meshLink) {
	if link.stream != nil || link.resting {
		return
	}
	link.stream = m.owner.world.network.dial(&m.owner.process, &link.to.process, meshDial)
}

func (m *mesh) opened(s *stream) {
	for _, link := range m.links {
		if link.stream != s {
			continue
		}
		link.up, link.pause = true, firstMeshPause
		for _, w := range link.waiting {
			if m.owner.world.Now()-w.since < messageLasts {
				s.endOf(&m.owner.process).send(w.message)
			}
		}
		link.waiting = nil
	}
}

func (m *mesh) ended(s *stream) {
	for _, link := range m.links {
		if link.stream != s {
			continue
		}
		link.stream, link.up, link.resting = nil, false, true
		pause := link.pause
		link.pause = min(mostMeshPause, 2*link.pause)
		m.owner.after(pause, func() {
			link.resting = false
			if len(link.waiting) > 0 {
				m.dial(link)
			}
		})
	}
}

func (w *World) instanceAt(address string) *instance {
	for _, i := range w.instances {
		if i.address == address {
			return i
		}
	}
	return nil
}
