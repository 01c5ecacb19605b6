// Package virtual plays a day of the emulator against the decision module alone, in virtual time: no
// sockets, no processes, no clock. Arrivals, channels, clients, front layer, ledger and rules are the
// emulator's own; only the courier round the module is made up of delays. The same day and module give
// the same ledger to the byte, thousands of times faster than it would pass.
package virtual

import (
	"container/heap"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"raventrestle"
	"raventrestle/internal/config"
	"raventrestle/internal/emulator"
	"raventrestle/internal/emulator/model"
)

// Decider is the decision module, or a double of it.
type Decider interface {
	Step(now time.Duration, events []raventrestle.Event) []raventrestle.Action
}

// Maker makes the module of one life of a courier.
type Maker func(courier int, set raventrestle.Settings, seed uint64) (Decider, error)

// Module is the decision module as it stands.
func Module(_ int, set raventrestle.Settings, seed uint64) (Decider, error) {
	return raventrestle.New(set, seed)
}

// Costs are the times that a courier, its disk and the loopback network take.
type Costs struct {
	Hop   time.Duration // one way between two processes, reading included
	Write time.Duration // until the journal has a record
	Start time.Duration // from a process's start until it is ready
	Last  time.Duration // from SIGTERM until the process ends, at most
}

// Usual are about what the sockets show on a quiet machine.
var Usual = Costs{Hop: 250 * time.Microsecond, Write: 500 * time.Microsecond, Start: 60 * time.Millisecond, Last: 2500 * time.Millisecond}

// lag is what the courier tells the module of how much later a repeat may arrive.
const lag = 250 * time.Millisecond

// epoch is when every run's traffic begins.
var epoch = time.Unix(1_800_000_000, 0)

// Run is what came of a day.
type Run struct {
	Ledger *emulator.Recorder
	Start  time.Time
	End    time.Time
	Asked  int
	Steps  int               // of the modules
	Series []emulator.Counts // at the end of each second
}

// world is a day under way.
type world struct {
	emulator.Spec
	costs    Costs
	make     Maker
	now      time.Time
	queue    events
	seq      int
	ledger   *emulator.Recorder
	channels map[int64]*model.Channel
	order    []*model.Channel
	ends     map[raventrestle.TargetID]*endpoint
	couriers []*courier
	front    *emulator.Balancer
	classes  map[string]*emulator.ClassSpec // by id of the submission
	ids      int
	list     []mark // of endpoints that do not just serve
	listRnd  *rand.Rand
	listOut  time.Time // until when discovery is out
	run      *Run
	err      error
}

type endpoint struct {
	*model.Endpoint
	dest  int64
	conns int // open
	pools []*pool
}

// pool are the idle connections of a courier to an endpoint, by when they were last used.
type pool struct{ idle []time.Time }

type mark struct {
	endpoint string
	state    raventrestle.Readiness
}

// event is something that happens at a time; those of one time happen as they were made.
type event struct {
	at  time.Time
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

func (w *world) at(t time.Time, do func()) {
	w.seq++
	heap.Push(&w.queue, event{t, w.seq, do})
}

func (w *world) after(d time.Duration, do func()) { w.at(w.now.Add(d), do) }

// Play plays the day. A nil maker is the module as it stands.
func Play(spec emulator.Spec, costs Costs, maker Maker) (*Run, error) {
	if len(spec.Faults.Links)+len(spec.Faults.Processes) > 0 {
		return nil, errors.New("virtual: field faults: this world has no links; leave them out")
	}
	if maker == nil {
		maker = Module
	}
	w := &world{
		Spec: spec, costs: costs, make: maker, now: epoch.Add(-time.Second), ledger: emulator.NewRecorder(epoch),
		channels: map[int64]*model.Channel{}, ends: map[raventrestle.TargetID]*endpoint{}, classes: map[string]*emulator.ClassSpec{},
		front: emulator.NewBalancer(spec.Couriers, spec.FailureDetectionDelay, spec.Seed), listRnd: rand.New(rand.NewPCG(spec.Seed, 0x115)),
	}
	w.ledger.AfterFunc = func(d time.Duration, f func()) { w.after(d, f) }
	w.run = &Run{Ledger: w.ledger, Start: epoch}
	for _, s := range spec.Channels {
		c := model.New(s, spec.Seed)
		w.channels[s.Dest], w.order = c, append(w.order, c)
		for _, m := range c.Endpoints {
			e := &endpoint{Endpoint: m, dest: s.Dest}
			for range spec.Couriers {
				e.pools = append(e.pools, &pool{})
			}
			w.ends[raventrestle.TargetID(m.Name)] = e
		}
	}
	for n := range spec.Couriers {
		c, err := newCourier(w, n)
		if err != nil {
			return nil, err
		}
		w.couriers = append(w.couriers, c)
		c.start()
	}
	end := epoch.Add(spec.Traffic)
	for _, c := range spec.Classes {
		end = later(end, epoch.Add(spec.Traffic+c.Deadline+time.Second))
	}
	w.plan()
	for t := epoch.Add(time.Second); !t.After(end); t = t.Add(time.Second) {
		w.at(t, func() { w.run.Series = append(w.run.Series, w.ledger.Counts()) })
	}
	for len(w.queue) > 0 && w.err == nil {
		e := heap.Pop(&w.queue).(event)
		if e.at.After(end) {
			break
		}
		w.now = later(w.now, e.at)
		e.do()
	}
	w.run.End = end
	for _, c := range w.couriers {
		w.run.Steps += c.steps
	}
	return w.run, w.err
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// plan puts the day's arrivals, troubles and restarts into the queue.
func (w *world) plan() {
	plan := w.Plan()
	w.run.Asked = len(plan)
	for _, a := range plan {
		w.at(epoch.Add(a.At), func() { w.deliver(a.Message(epoch), a.Class, a.Courier, 0) })
	}
	for _, t := range w.ChannelFaults {
		c := w.channels[t.Dest]
		if c == nil {
			continue
		}
		set := func(m model.Mode) {
			for _, e := range c.Endpoints {
				e.SetMode(m, w.now)
			}
		}
		from, to := epoch.Add(t.At), epoch.Add(t.At+t.For)
		if t.Drain {
			w.at(from, func() { w.mark(c.Endpoints[0].Name, raventrestle.Draining) })
			w.at(to, func() { w.mark(c.Endpoints[0].Name, raventrestle.Ready) })
			continue
		}
		w.at(from, func() {
			set(t.Mode)
			for _, e := range c.Endpoints {
				if e.Floor == t.DeletedFloor {
					w.mark(e.Name, raventrestle.Removed)
				}
			}
		})
		w.at(to, func() { set(model.ModeHealthy) })
	}
	for _, o := range w.DiscoveryOutages {
		w.at(epoch.Add(o.At), func() {
			w.listOut = w.now.Add(o.For)
			for _, c := range w.couriers { // their watches end
				c.post(raventrestle.ListUpdate{Kind: raventrestle.ListFailed})
			}
		})
	}
	for _, r := range w.Restarts {
		c := w.couriers[r.Courier]
		w.at(epoch.Add(r.At), func() {
			if r.Term {
				c.term(r.Down)
			} else {
				c.kill()
				w.after(r.Down, c.start)
			}
		})
	}
}

// mark changes an endpoint's state in the list, and tells the couriers.
func (w *world) mark(endpoint string, state raventrestle.Readiness) {
	w.list = slices.DeleteFunc(w.list, func(m mark) bool { return m.endpoint == endpoint })
	if state != raventrestle.Ready {
		w.list = append(w.list, mark{endpoint, state})
	}
	for _, c := range w.couriers {
		late := w.ListDelay[0] + time.Duration(w.listRnd.Float64()*float64(w.ListDelay[1]-w.ListDelay[0]))
		at := later(w.now, w.listOut).Add(late + w.costs.Hop)
		life := c.life
		w.at(at, func() {
			if c.life == life && c.up {
				c.tell(endpoint, state)
			}
		})
	}
}

func (w *world) state(endpoint string) raventrestle.Readiness {
	for _, m := range w.list {
		if m.endpoint == endpoint {
			return m.state
		}
	}
	return raventrestle.Ready
}

// deliver hands a message in, and again after a refusal, each time at another courier.
func (w *world) deliver(m *emulator.Message, class *emulator.ClassSpec, courier, try int) {
	if w.now.After(m.Deadline) {
		return
	}
	n := w.front.Pick((courier+try)%w.Couriers, w.now)
	w.ids++
	id := fmt.Sprintf("t%08d", w.ids)
	w.classes[id] = class
	w.ledger.Submit(m, id, n, w.now)
	answer := func(code int) {
		w.ledger.ClientAnswered(id, code, w.now)
		if code == 202 {
			return
		}
		if after, again := emulator.RetryDelay(try); again {
			w.after(after, func() { w.deliver(m, class, courier, try+1) })
		}
	}
	c := w.couriers[n]
	w.after(w.costs.Hop, func() { c.submit(m, id, class, try, answer) })
}

// notice is a courier's word of a message's end.
func (w *world) notice(id, status string, after time.Duration, courier int) {
	if !w.ledger.RecordNotice(id, status, courier, w.now) || status != "deferred" {
		return
	}
	m, n := w.ledger.MessageOf(id)
	back, again := emulator.ResubmitAt(after, n, w.now, m.Deadline)
	if again {
		w.at(back, func() { w.deliver(m, w.classes[id], n, 0) })
	}
}

// settings are what the platform tells the courier, read as the courier reads it.
func (w *world) settings(n int) (raventrestle.Settings, *config.Names, error) {
	text, err := json.Marshal(w.PlatformSettings(n))
	if err != nil {
		return raventrestle.Settings{}, nil, err
	}
	set, names, err := config.ParseSettings(text)
	set.MaxSendJitter = lag
	return set, names, err
}
