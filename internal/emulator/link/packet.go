package link

import (
	"container/heap"
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"
)

const (
	packetBytes   = 64 << 10
	packetsAtMost = 256 // under way in one direction of a link
	reorderHold   = 50 * time.Millisecond
)

// hop is where a packet goes: out of which socket, to whom.
type hop struct {
	line *line
	out  *net.UDPConn
	to   netip.AddrPort
}

type packet struct {
	hop
	data  []byte
	due   time.Time
	n     uint64 // order of those that are due at once
	index int    // in the queue, -1 when out of it
}

type queue []*packet

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	if q[i].due.Equal(q[j].due) {
		return q[i].n < q[j].n
	}
	return q[i].due.Before(q[j].due)
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i]; q[i].index, q[j].index = i, j }
func (q *queue) Push(x any)   { p := x.(*packet); p.index = len(*q); *q = append(*q, p) }
func (q *queue) Pop() any {
	old := *q
	p := old[len(old)-1]
	old[len(old)-1] = nil
	*q, p.index = old[:len(old)-1], -1
	return p
}

// packets is a UDP socket, with a goroutine that reads and one that sends on what is due.
type packets struct {
	socket  *net.UDPConn
	route   func(from netip.AddrPort) (hop, bool)
	unknown func()
	all     sync.WaitGroup
	done    chan struct{}
	wake    chan struct{}

	mu    sync.Mutex // before a line's
	queue queue
	n     uint64
}

func newPackets(socket *net.UDPConn, route func(netip.AddrPort) (hop, bool), unknown func()) *packets {
	return &packets{socket: socket, route: route, unknown: unknown, done: make(chan struct{}), wake: make(chan struct{}, 1)}
}

// start begins to carry; by then all sockets that the route names are open.
func (s *packets) start() {
	s.all.Go(s.read)
	s.all.Go(s.send)
}

func (s *packets) close() error {
	close(s.done)
	err := s.socket.Close()
	s.all.Wait()
	return err
}

func (s *packets) read() {
	buf := make([]byte, packetBytes)
	for {
		n, from, err := s.socket.ReadFromUDPAddrPort(buf)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue // an ICMP answer to what was sent to a dead party
		}
		h, ok := s.route(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
		if !ok {
			s.unknown()
			continue
		}
		s.take(h, append([]byte(nil), buf[:n]...))
	}
}

func (s *packets) take(h hop, data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := h.line
	l.mu.Lock()
	defer l.mu.Unlock()
	d := l.chance.Decide(l.fault)
	if d.Drop {
		l.counts.Dropped++
		return
	}
	copies := 1
	if d.Double {
		l.counts.Doubled++
		copies = 2
	}
	for range copies {
		if l.waiting >= packetsAtMost {
			l.counts.Overflowed++
			return
		}
		s.n++
		p := &packet{hop: h, data: data, due: time.Now().Add(d.Delay), n: s.n}
		if l.fault.Rate > 0 {
			if l.free.After(p.due) {
				p.due = l.free
			}
			l.free = p.due.Add(time.Duration(float64(len(data)) / float64(l.fault.Rate) * float64(time.Second)))
		}
		if p.due.Before(l.last) {
			p.due = l.last
		}
		overtaken := l.held
		l.held = nil
		if d.Reorder && overtaken == nil && copies == 1 {
			p.due = p.due.Add(reorderHold)
			l.held = p
			l.counts.Reordered++
		} else {
			l.last = p.due
		}
		l.waiting++
		heap.Push(&s.queue, p)
		if overtaken != nil && overtaken.index >= 0 {
			s.n++
			overtaken.due, overtaken.n = p.due, s.n
			heap.Fix(&s.queue, overtaken.index)
		}
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *packets) send() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		s.mu.Lock()
		wait := time.Hour
		var p *packet
		if len(s.queue) > 0 {
			if wait = time.Until(s.queue[0].due); wait <= 0 {
				p = heap.Pop(&s.queue).(*packet)
			}
		}
		s.mu.Unlock()
		if p != nil {
			p.line.mu.Lock()
			if p.line.waiting--; p.line.held == p {
				p.line.held = nil
			}
			cut := p.line.fault.Cut // it was under way when the link was cut
			if cut {
				p.line.counts.Dropped++
			} else {
				p.line.counts.Passed++
				p.line.counts.Bytes += int64(len(p.data))
			}
			p.line.mu.Unlock()
			if !cut {
				p.out.WriteToUDPAddrPort(p.data, p.to) // whom it does not reach is not there
			}
			continue
		}
		timer.Reset(wait)
		select {
		case <-timer.C:
		case <-s.wake:
		case <-s.done:
			return
		}
	}
}
