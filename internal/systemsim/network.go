package systemsim

import (
	"slices"
	"time"
)

// Times of links and of the kernels at their ends.
const (
	leastDelay  = 300 * time.Microsecond
	mostDelay   = 900 * time.Microsecond
	farDelay    = 2 * time.Millisecond // between zones, at least
	lostDelay   = 250 * time.Millisecond
	afterHeal   = 300 * time.Millisecond  // what was held up comes within this time
	userTimeout = 1500 * time.Millisecond // a kernel ends a connection whose bytes are unacknowledged for so long
)

// pair is one direction between two machines.
type pair struct{ from, to *process }

// network is the links between all machines.
type network struct {
	world   *World
	cuts    map[pair]int  // how many faults cut it
	slow    time.Duration // added at random
	loss    float64       // share of the messages that come late because a packet was lost
	badAt   time.Duration // links were slow or lossy; never: they are
	coreAt  time.Duration // newest cut or join between instances
	streams []*stream
}

func newNetwork(w *World) *network { return &network{world: w, cuts: make(map[pair]int)} }

// harm makes all links slow and lossy; zeros make them good again.
func (n *network) harm(slow time.Duration, loss float64) {
	n.slow, n.loss, n.badAt = slow, loss, never
	if slow == 0 && loss == 0 {
		n.badAt = n.world.Now()
	}
}

// cut takes a direction away, join gives it back.
func (n *network) cut(from, to *process) {
	n.cuts[pair{from, to}]++
	n.noteCore(from, to)
}

func (n *network) join(from, to *process) {
	key := pair{from, to}
	if n.cuts[key]--; n.cuts[key] <= 0 {
		delete(n.cuts, key)
	}
	n.noteCore(from, to)
}

func (n *network) noteCore(from, to *process) {
	if n.isCore(from) && n.isCore(to) {
		n.coreAt = n.world.Now()
	}
}

func (n *network) isCore(p *process) bool {
	return slices.ContainsFunc(n.world.instances, func(i *instance) bool { return &i.process == p })
}

// passes tells whether a packet gets from one machine to the other now.
func (n *network) passes(from, to *process) bool {
	return n.cuts[pair{from, to}] == 0 && from.powered && to.powered
}

// linked tells whether nothing but an end's own state keeps packets from passing.
func (n *network) linked(from, to *process) bool { return n.cuts[pair{from, to}] == 0 }

// path tells whether packets pass in both directions.
func (n *network) path(a, b *process) bool { return a == b || n.passes(a, b) && n.passes(b, a) }

func (n *network) delay(from, to *process) time.Duration {
	w := n.world
	delay := w.between(leastDelay, mostDelay)
	if from.zone != to.zone {
		delay += farDelay
	}
	if n.slow > 0 {
		delay += w.between(0, n.slow)
	}
	if n.loss > 0 && w.random.Float64() < n.loss {
		delay += lostDelay
	}
	return delay
}

// changed has streams go on that were held up, and the truth be told anew.
func (n *network) changed() {
	open := n.streams[:0]
	for _, s := range n.streams {
		if s.over() {
			continue
		}
		open = append(open, s)
		for _, e := range s.ends {
			e.resume()
		}
	}
	n.streams = open
	n.world.observe()
}

// stream is a connection of two processes: messages of one direction keep their order.
type stream struct {
	network *network
	ends    [2]*end // of the caller, of the called
	open    bool
}

// end is one process's side of a stream, with what it has sent.
type end struct {
	stream  *stream
	process *process
	life    int // of the process
	other   *end
	closed  bool // the process has no use for it any more, or knows that it is over
	queue   []any
	moving  bool          // an arrival is planned
	held    bool          // by a cut
	unacked time.Duration // since when bytes that were sent are unacknowledged; zero: none are
	due     time.Duration // of the newest arrival
}

type finish struct{}

// dial opens a stream; the caller hears of it by opened or ended.
func (n *network) dial(from, to *process, patience time.Duration) *stream {
	s := &stream{network: n}
	a, b := &end{stream: s, process: from, life: from.life}, &end{stream: s, process: to}
	a.other, b.other = b, a
	s.ends = [2]*end{a, b}
	n.streams = append(n.streams, s)
	from.streams = append(from.streams, s)
	from.after(patience, func() {
		if !s.open {
			a.fail()
		}
	})
	n.world.After(n.delay(from, to), func() { s.called(n) })
	return s
}

// called is the caller's first packet at the other machine.
func (s *stream) called(n *network) {
	a, b := s.ends[0], s.ends[1]
	if !n.passes(a.process, b.process) {
		return
	}
	refused := !b.process.running
	if !refused {
		b.life = b.process.life
		b.process.streams = append(b.process.streams, s)
	}
	n.world.After(n.delay(b.process, a.process), func() {
		switch {
		case a.closed || !n.passes(b.process, a.process):
		case refused:
			a.process.do(a.life, a.fail)
		default:
			a.process.do(a.life, func() {
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

// over tells whether nobody is left who could notice anything.
func (s *stream) over() bool {
	return s.ends[0].gone() && s.ends[1].gone() && !s.ends[0].moving && !s.ends[1].moving
}

// gone tells whether no process is behind this end any more.
func (e *end) gone() bool { return e.closed || e.life != e.process.life }

// send queues a message for the process at the other end.
func (e *end) send(message any) {
	if e.gone() {
		return
	}
	e.queue = append(e.queue, message)
	e.move()
}

// close ends the stream; what was sent before still arrives.
func (e *end) close() {
	if e.closed {
		return
	}
	e.send(finish{})
	e.closed = true
}

// fail tells the own process that the stream is over.
func (e *end) fail() {
	if e.gone() {
		return
	}
	e.closed = true
	e.queue = nil
	e.process.ended(e.stream)
}

// abandoned: the process has ended. Its kernel says so, if it still runs.
func (e *end) abandoned(power bool) {
	if e.closed {
		return
	}
	e.closed = true
	e.queue = nil
	if power {
		e.queue = append(e.queue, finish{})
		e.move()
	}
}

// move plans the arrival of the first message that waits.
func (e *end) move() {
	if e.moving || len(e.queue) == 0 {
		return
	}
	n := e.stream.network
	e.moving = true
	now := n.world.Now()
	e.due = max(e.due, now+n.delay(e.process, e.other.process))
	n.world.After(e.due-now, e.arrive)
}

// arrive brings what has been sent to the other machine, or holds it up.
func (e *end) arrive() {
	e.moving = false
	n := e.stream.network
	if len(e.queue) == 0 {
		return
	}
	if !n.passes(e.process, e.other.process) {
		e.held = true
		e.unacknowledged()
		return
	}
	if e.other.gone() {
		e.reset()
		return
	}
	batch := e.queue
	e.queue = nil
	if !n.passes(e.other.process, e.process) {
		e.unacknowledged()
	}
	for _, message := range batch {
		e.deliver(message)
	}
}

func (e *end) deliver(message any) {
	to := e.other
	if _, over := message.(finish); over {
		to.process.do(to.life, to.fail)
		return
	}
	to.process.do(to.life, func() {
		if !to.closed {
			to.process.takes(to.stream, message)
		}
	})
}

// reset: nobody is at the other end. The machine there says so, if it can.
func (e *end) reset() {
	e.queue = nil
	n := e.stream.network
	n.world.After(n.delay(e.other.process, e.process), func() {
		if n.passes(e.other.process, e.process) {
			e.process.do(e.life, e.fail)
		} else {
			e.unacknowledged()
		}
	})
}

// unacknowledged has the kernel end the stream where nothing comes back for long.
func (e *end) unacknowledged() {
	if e.unacked > 0 {
		return
	}
	since := e.stream.network.world.Now()
	e.unacked = since
	e.stream.network.world.After(userTimeout, func() {
		if e.unacked != since {
			return
		}
		e.queue = nil
		e.process.do(e.life, e.fail)
	})
}

// resume goes on with what was held up.
func (e *end) resume() {
	n := e.stream.network
	if n.path(e.process, e.other.process) {
		e.unacked = 0
	}
	if e.held && n.passes(e.process, e.other.process) {
		e.held = false
		e.due = max(e.due, n.world.Now()+n.world.between(0, afterHeal))
		e.move()
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
			to.do(to.life, func() {
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
