package systemsim

import (
	"slices"
	"time"
)

// Times of links and of the kernels at their ends.
const (
	minDelay            = 300 * time.Microsecond
	maxDelay            = 900 * time.Microsecond
	zoneDelay           = 2 * time.Millisecond // between zones, at least
	retransmissionDelay = 250 * time.Millisecond
	maxHealDelay        = 300 * time.Millisecond  // what was held up comes within this time
	userTimeout         = 1500 * time.Millisecond // a kernel ends a connection whose bytes are unacknowledged for so long
)

// direction is one direction between two machines.
type direction struct{ from, to *process }

// network is the links between all machines.
type network struct {
	world           *World
	blocked         map[direction]int // how many faults cut it
	jitter          time.Duration     // added at random
	loss            float64           // share of the messages that come late because a packet was lost
	degradedAt      time.Duration     // links were slow or lossy; never: they are
	instanceLinksAt time.Duration     // newest cut or join between instances
	streams         []*stream
}

func newNetwork(w *World) *network { return &network{world: w, blocked: make(map[direction]int)} }

// degrade makes all links slow and lossy; zeros make them good again.
func (n *network) degrade(slow time.Duration, loss float64) {
	n.jitter, n.loss, n.degradedAt = slow, loss, never
	if slow == 0 && loss == 0 {
		n.degradedAt = n.world.Now()
	}
}

// block takes a direction away, join gives it back.
func (n *network) block(from, to *process) {
	n.blocked[direction{from, to}]++
	n.noteInstanceLink(from, to)
}

func (n *network) unblock(from, to *process) {
	key := direction{from, to}
	if n.blocked[key]--; n.blocked[key] <= 0 {
		delete(n.blocked, key)
	}
	n.noteInstanceLink(from, to)
}

func (n *network) noteInstanceLink(from, to *process) {
	if n.isInstance(from) && n.isInstance(to) {
		n.instanceLinksAt = n.world.Now()
	}
}

func (n *network) isInstance(p *process) bool {
	return slices.ContainsFunc(n.world.instances, func(i *instance) bool { return &i.process == p })
}

// passes tells whether a packet gets from one machine to the other now.
func (n *network) passes(from, to *process) bool {
	return n.blocked[direction{from, to}] == 0 && from.powered && to.powered
}

// unblocked tells whether nothing but an end's own state keeps packets from passing.
func (n *network) unblocked(from, to *process) bool { return n.blocked[direction{from, to}] == 0 }

// path tells whether packets pass in both directions.
func (n *network) path(a, b *process) bool { return a == b || n.passes(a, b) && n.passes(b, a) }

func (n *network) delay(from, to *process) time.Duration {
	w := n.world
	delay := w.between(minDelay, maxDelay)
	if from.zone != to.zone {
		delay += zoneDelay
	}
	if n.jitter > 0 {
		delay += w.between(0, n.jitter)
	}
	if n.loss > 0 && w.random.Float64() < n.loss {
		delay += retransmissionDelay
	}
	return delay
}

// topologyChanged has streams go on that were held up, and the truth be told anew.
func (n *network) topologyChanged() {
	open := n.streams[:0]
	for _, s := range n.streams {
		if s.finished() {
			continue
		}
		open = append(open, s)
		for _, e := range s.ends {
			e.resume()
		}
	}
	n.streams = open
	n.world.observeConnectivity()
}

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

// call is a request of a client that is no process of the world: each way may be cut.
func (n *network) call(from, to *process, patience time.Duration, ask func(answer func(any)), done func(any)) {
	w := n.world
	over := false
	finishWith := func(result any) {
		if !over {
			over = true
			done(result)
		}
	}
	w.After(patience, func() { finishWith(nil) })
	w.After(n.delay(from, to), func() {
		n.whenPassing(from, to, func() {
			if !to.running {
				w.After(n.delay(to, from), func() { finishWith(nil) })
				return
			}
			to.do(to.incarnation, func() {
				ask(func(result any) {
					w.After(n.delay(to, from), func() {
						if n.passes(to, from) {
							finishWith(result)
						}
					})
				})
			})
		})
	})
}

// whenPassing runs at once, or once a cut is healed, if that is soon: half of what is held up is lost.
func (n *network) whenPassing(from, to *process, run func()) {
	w := n.world
	if n.passes(from, to) {
		run()
		return
	}
	if w.oneIn(2) {
		return
	}
	w.After(w.between(200*time.Millisecond, 3*time.Second), func() {
		if n.passes(from, to) {
			run()
		}
	})
}
