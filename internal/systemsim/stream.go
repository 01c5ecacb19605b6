package systemsim

import (
	"time"
)

// stream is a connection of two processes: messages of one direction keep their order.
type stream struct {
	network *network
	ends    [2]*end // of the caller, of the called
	open    bool
}

// end is one process's side of a stream, with what it has sent.
type end struct {
	stream           *stream
	process          *process
	incarnation      int // of the process
	other            *end
	closed           bool // the process has no use for it any more, or knows that it is over
	queue            []any
	arrivalScheduled bool          // an arrival is planned
	heldBack         bool          // by a cut
	unackedSince     time.Duration // since when bytes that were sent are unacknowledged; zero: none are
	arrivesAt        time.Duration // of the newest arrival
}

type fin struct{}

// dial opens a stream; the caller hears of it by opened or ended.
func (n *network) dial(from, to *process, patience time.Duration) *stream {
	s := &stream{network: n}
	a, b := &end{stream: s, process: from, incarnation: from.incarnation}, &end{stream: s, process: to}
	a.other, b.other = b, a
	s.ends = [2]*end{a, b}
	n.streams = append(n.streams, s)
	from.streams = append(from.streams, s)
	from.after(patience, func() {
		if !s.open {
			a.fail()
		}
	})
	n.world.After(n.delay(from, to), func() { s.accept(n) })
	return s
}

// accept is the caller's first packet at the other machine.
func (s *stream) accept(n *network) {
	a, b := s.ends[0], s.ends[1]
	if !n.passes(a.process, b.process) {
		return
	}
	refused := !b.process.running
	if !refused {
		b.incarnation = b.process.incarnation
		b.process.streams = append(b.process.streams, s)
	}
	n.world.After(n.delay(b.process, a.process), func() {
		switch {
		case a.closed || !n.passes(b.process, a.process):
		case refused:
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

func (s *stream) endOf(p *process) *end {
	if s.ends[0].process == p {
		return s.ends[0]
	}
	return s.ends[1]
}

// finished tells whether nobody is left who could notice anything.
func (s *stream) finished() bool {
	return s.ends[0].detached() && s.ends[1].detached() && !s.ends[0].arrivalScheduled && !s.ends[1].arrivalScheduled
}

// detached tells whether no process is behind this end any more.
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

// fail tells the own process that the stream is over.
func (e *end) fail() {
	if e.detached() {
		return
	}
	e.closed = true
	e.queue = nil
	e.process.ended(e.stream)
}

// abandoned: the process has ended. Its kernel says so, if it still runs.
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

// scheduleArrival plans the arrival of the first message that waits.
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

// arrive brings what has been sent to the other machine, or holds it up.
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

func (e *end) deliver(message any) {
	to := e.other
	if _, over := message.(fin); over {
		to.process.do(to.incarnation, to.fail)
		return
	}
	to.process.do(to.incarnation, func() {
		if !to.closed {
			to.process.receive(to.stream, message)
		}
	})
}

// reset: nobody is at the other end. The machine there says so, if it can.
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

// startUserTimeout has the kernel end the stream where nothing comes back for long.
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

// resume goes on with what was held up.
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
