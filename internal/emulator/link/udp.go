package link

import (
	"container/heap"
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Limits of a UDP relay.
const (
	maxPacketBytes   = 64 << 10
	maxQueuedPackets = 256                   // in one direction of a link
	maxReorderDelay  = 50 * time.Millisecond // of a reordered packet that no other packet follows
)

// udpRoute is the flow that a packet belongs to, the socket that sends it and the destination.
type udpRoute struct {
	flow   *flow
	socket *net.UDPConn
	to     netip.AddrPort
}

// packet is a packet that waits to be forwarded.
type packet struct {
	udpRoute
	data  []byte
	due   time.Time
	seq   uint64 // order of packets that are due at the same time
	index int    // in the queue; -1 if the packet is not queued
}

// queue is a heap of packets ordered by due time.
type queue []*packet

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	if q[i].due.Equal(q[j].due) {
		return q[i].seq < q[j].seq
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

// udpProxy is a UDP socket with one goroutine that reads packets and one that forwards them when they are due.
type udpProxy struct {
	socket     *net.UDPConn
	route      func(from netip.AddrPort) (udpRoute, bool)
	onUnknown  func()
	goroutines sync.WaitGroup
	done       chan struct{}
	wake       chan struct{}

	mu      sync.Mutex // locked before a flow's mutex
	queue   queue
	lastSeq uint64
}

func newUDPProxy(socket *net.UDPConn, route func(netip.AddrPort) (udpRoute, bool), unknown func()) *udpProxy {
	return &udpProxy{socket: socket, route: route, onUnknown: unknown, done: make(chan struct{}), wake: make(chan struct{}, 1)}
}

// start begins to forward packets. All sockets that route returns must be open by then.
func (s *udpProxy) start() {
	s.goroutines.Go(s.read)
	s.goroutines.Go(s.send)
}

func (s *udpProxy) close() error {
	close(s.done)
	err := s.socket.Close()
	s.goroutines.Wait()
	return err
}

func (s *udpProxy) read() {
	buf := make([]byte, maxPacketBytes)
	for {
		n, from, err := s.socket.ReadFromUDPAddrPort(buf)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue // an ICMP error for a packet that was sent to a stopped node
		}
		route, ok := s.route(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
		if !ok {
			s.onUnknown()
			continue
		}
		s.enqueue(route, append([]byte(nil), buf[:n]...))
	}
}

// enqueue applies the flow's fault to the packet and queues the resulting copies, if any.
func (s *udpProxy) enqueue(route udpRoute, data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fl := route.flow
	fl.mu.Lock()
	defer fl.mu.Unlock()
	d := fl.sampler.Decide(fl.fault)
	if d.Drop {
		fl.counts.Dropped++
		return
	}
	copies := 1
	if d.Double {
		fl.counts.Doubled++
		copies = 2
	}
	for range copies {
		if fl.queued >= maxQueuedPackets {
			fl.counts.Overflowed++
			return
		}
		s.lastSeq++
		p := &packet{udpRoute: route, data: data, due: time.Now().Add(d.Delay), seq: s.lastSeq}
		if fl.fault.Rate > 0 {
			if fl.nextSendTime.After(p.due) {
				p.due = fl.nextSendTime
			}
			fl.nextSendTime = p.due.Add(time.Duration(float64(len(data)) / float64(fl.fault.Rate) * float64(time.Second)))
		}
		if p.due.Before(fl.lastDue) {
			p.due = fl.lastDue
		}
		overtaken := fl.reordered
		fl.reordered = nil
		if d.Reorder && overtaken == nil && copies == 1 {
			p.due = p.due.Add(maxReorderDelay)
			fl.reordered = p
			fl.counts.Reordered++
		} else {
			fl.lastDue = p.due
		}
		fl.queued++
		heap.Push(&s.queue, p)
		if overtaken != nil && overtaken.index >= 0 {
			s.lastSeq++
			overtaken.due, overtaken.seq = p.due, s.lastSeq
			heap.Fix(&s.queue, overtaken.index)
		}
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// send forwards the queued packets when they are due.
func (s *udpProxy) send() {
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
			p.flow.mu.Lock()
			if p.flow.queued--; p.flow.reordered == p {
				p.flow.reordered = nil
			}
			drop := p.flow.fault.Cut // the packet was queued when the link was cut
			if drop {
				p.flow.counts.Dropped++
			} else {
				p.flow.counts.Passed++
				p.flow.counts.Bytes += int64(len(p.data))
			}
			p.flow.mu.Unlock()
			if !drop {
				p.socket.WriteToUDPAddrPort(p.data, p.to) // an error means that the destination is not running
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
