package systemsim

import "time"

// stream is a connection of two processes, as over TCP: messages of one direction keep their order.
type stream struct {
	network *network
	ends    [2]*end // of the process that dialled, of the other
	open    bool
}

// end is one process's side of a stream, with what it has sent.
type end struct {
	stream           *stream
	process          *process
	incarnation      int // of the process
	other            *end
	closed           bool          // the process closed it, or was notified of its end
	queue            []any         // sent, not arrived
	arrivalScheduled bool          // for queue
	heldBack         bool          // queue waits: a fault blocks the link
	unackedSince     time.Duration // since when bytes are without acknowledgement; zero: none are
	arrivesAt        time.Duration // of the newest arrival
}

// fin is the last message of a stream: its sender closed it.
type fin struct{}

// dial opens a stream; the process that dials is notified by opened or ended.
func (n *network) dial(from, to *process, timeout time.Duration) *stream {
	s := &stream{network: n}
	a, b := &end{stream: s, process: from, incarnation: from.incarnation}, &end{stream: s, process: to}
	a.other, b.other = b, a
	s.ends = [2]*end{a, b}
	n.streams = append(n.streams, s)
	from.streams = append(from.streams, s)
	from.after(timeout, func() {
		if !s.open {
			a.fail()
		}
	})
	n.world.After(n.delay(from, to), func() { s.accept(n) })
	return s
}

// accept takes in the first packet at the other machine.
func (s *stream) accept(n *network) {
	a, b := s.ends[0], s.ends[1]
	if !n.passes(a.process, b.process) {
		return
	}
	rejected := !b.process.running
	if !rejected {
		b.incarnation = b.process.incarnation
		b.process.streams = append(b.process.streams, s)
	}
	n.world.After(n.delay(b.process, a.process), func() {
		switch {
		case a.closed || !n.passes(b.process, a.process):
		case rejected:
			a.process.do(a.incarnation, a.fail)
		default:
			a.process.do(a.incarnation, func() {
				if !a.closed && !s.open {
					s.open = true
					a.process.opened(s)
				}
			})
		}
	})
}

// endOf returns the process's end.
func (s *stream) endOf(p *process) *end {
	if s.ends[0].process == p {
		return s.ends[0]
	}
	return s.ends[1]
}

// finished says whether no process is left to be notified of anything.
func (s *stream) finished() bool {
	return s.ends[0].detached() && s.ends[1].detached() && !s.ends[0].arrivalScheduled && !s.ends[1].arrivalScheduled
}

// detached says whether no process is behind this end any more.
func (e *end) detached() bool { return e.closed || e.incarnation != e.process.incarnation }

// send queues a message for the process at the other end.
func (e *end) send(message any) {
	if e.detached() {
		return
	}
	e.queue = append(e.queue, message)
	e.scheduleArrival()
}

// close ends the stream; what was sent before still arrives.
func (e *end) close() {
	if e.closed {
		return
	}
	e.send(fin{})
	e.closed = true
}

// fail ends the stream and notifies the own process.
func (e *end) fail() {
	if e.detached() {
		return
	}
	e.closed = true
	e.queue = nil
	e.process.ended(e.stream)
}

// processEnded takes in that the process has ended. Its kernel closes the stream, if the machine has power.
func (e *end) processEnded(power bool) {
	if e.closed {
		return
	}
	e.closed = true
	e.queue = nil
	if power {
		e.queue = append(e.queue, fin{})
		e.scheduleArrival()
	}
}

// scheduleArrival plans the arrival of what is queued.
func (e *end) scheduleArrival() {
	if e.arrivalScheduled || len(e.queue) == 0 {
		return
	}
	n := e.stream.network
	e.arrivalScheduled = true
	now := n.world.Now()
	e.arrivesAt = max(e.arrivesAt, now+n.delay(e.process, e.other.process))
	n.world.After(e.arrivesAt-now, e.arrive)
}

// arrive delivers what is queued to the other machine, or leaves it queued where a fault blocks the link.
func (e *end) arrive() {
	e.arrivalScheduled = false
	n := e.stream.network
	if len(e.queue) == 0 {
		return
	}
	if !n.passes(e.process, e.other.process) {
		e.heldBack = true
		e.startUserTimeout()
		return
	}
	if e.other.detached() {
		e.reset()
		return
	}
	batch := e.queue
	e.queue = nil
	if !n.passes(e.other.process, e.process) {
		e.startUserTimeout()
	}
	for _, message := range batch {
		e.deliver(message)
	}
}

// deliver gives one message to the process at the other end.
func (e *end) deliver(message any) {
	to := e.other
	if _, isFin := message.(fin); isFin {
		to.process.do(to.incarnation, to.fail)
		return
	}
	to.process.do(to.incarnation, func() {
		if !to.closed {
			to.process.receive(to.stream, message)
		}
	})
}

// reset drops what is queued: no process is at the other end. The machine there answers so, if it can.
func (e *end) reset() {
	e.queue = nil
	n := e.stream.network
	n.world.After(n.delay(e.other.process, e.process), func() {
		if n.passes(e.other.process, e.process) {
			e.process.do(e.incarnation, e.fail)
		} else {
			e.startUserTimeout()
		}
	})
}

// startUserTimeout has the kernel end the stream unless packets pass in both directions again in userTimeout.
func (e *end) startUserTimeout() {
	if e.unackedSince > 0 {
		return
	}
	since := e.stream.network.world.Now()
	e.unackedSince = since
	e.stream.network.world.After(userTimeout, func() {
		if e.unackedSince != since {
			return
		}
		e.queue = nil
		e.process.do(e.incarnation, e.fail)
	})
}

// resume takes in that the link may work again: what was held back arrives in maxHealDelay.
func (e *end) resume() {
	n := e.stream.network
	if n.path(e.process, e.other.process) {
		e.unackedSince = 0
	}
	if e.heldBack && n.passes(e.process, e.other.process) {
		e.heldBack = false
		e.arrivesAt = max(e.arrivesAt, n.world.Now()+n.world.between(0, maxHealDelay))
		e.scheduleArrival()
	}
}
